package org.mulberrycross.caller;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link RouteTable} and {@link RouteRule}.
 */
class RouteTableTest {

	private static RouteRule rule(String name, String host, String prefix) {
		return new RouteRule(name, host, prefix, RouteKind.IDEMPOTENT, Duration.ofSeconds(1), Duration.ofSeconds(1), 2,
				0, false, false, List.of(new WeightedService("x", 90), new WeightedService("y", 10)));
	}

	/**
	 * Fails if a request is routed by a shorter prefix, the rule of another host or the
	 * order of the rules, and so reaches the service of another route.
	 */
	@ParameterizedTest
	@CsvSource({ "h.example, /a/x, short", "H.example:80, /a/b/x, long", "h.example, /a, none",
			"i.example, /a/x, other", "j.example, /a/x, none", "h.example, /ab/x, none" })
	void findsLongestMatchingPrefixOfHost(String host, String path, String expectedRoute) {
		RouteTable table = RouteTable.of(List.of(rule("short", "h.example", "/a/"), rule("long", "h.example", "/a/b/"),
				rule("other", "i.example", "/a/")));
		assertThat(table.find(host, path).map(RouteRule::name).orElse("none")).isEqualTo(expectedRoute);
	}

	/** Fails if a service's share of the requests does not match its weight. */
	@Test
	void choosesServicesInProportionToWeights() {
		SplittableRandom random = new SplittableRandom(1);
		RouteRule rule = rule("r", "h", "/");
		long countOfX = IntStream.range(0, 10_000)
			.filter((i) -> rule.chooseService(random).orElseThrow().equals("x"))
			.count();
		assertThat((double) countOfX).isWithin(200).of(9000);
	}

}
