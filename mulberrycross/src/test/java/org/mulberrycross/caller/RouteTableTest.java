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
 * Guards against requests that reach the service of another route.
 */
class RouteTableTest {

	private static RouteRule rule(String name, String host, String prefix) {
		return new RouteRule(name, host, prefix, RouteKind.IDEMPOTENT, Duration.ofSeconds(1), Duration.ofSeconds(1), 2,
				0, false, false, List.of(new WeightedService("x", 90), new WeightedService("y", 10)));
	}

	/** Fails if a shorter prefix, another host or the order of the rules decides. */
	@ParameterizedTest
	@CsvSource({ "h.example, /a/x, short", "H.example:80, /a/b/x, long", "h.example, /a, none",
			"i.example, /a/x, other", "j.example, /a/x, none", "h.example, /ab/x, none" })
	void findsLongestPrefixOfHost(String host, String path, String expected) {
		RouteTable table = RouteTable.of(List.of(rule("short", "h.example", "/a/"), rule("long", "h.example", "/a/b/"),
				rule("other", "i.example", "/a/")));
		assertThat(table.find(host, path).map(RouteRule::name).orElse("none")).isEqualTo(expected);
	}

	/** Fails if a service gets another share of the requests than its weight. */
	@Test
	void sharesFollowWeights() {
		SplittableRandom random = new SplittableRandom(1);
		RouteRule rule = rule("r", "h", "/");
		long first = IntStream.range(0, 10_000).filter((i) -> rule.choose(random).orElseThrow().equals("x")).count();
		assertThat((double) first).isWithin(200).of(9000);
	}

}
