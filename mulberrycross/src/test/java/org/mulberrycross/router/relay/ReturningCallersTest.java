package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.caller.RouteKind;
import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.caller.WeightedService;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayRequest;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against new requests that take the place of those that were refused before.
 */
class ReturningCallersTest {

	private final ReturningCallers callers = new ReturningCallers();

	private boolean isReturning(String team, long timeoutMillis, long nowSeconds) {
		RelayExchange exchange = new RelayExchange(new RelayRequest("POST", "/", Headers.of(List.of()), new byte[0]),
				new ClientCall("id", "host", "/", Optional.empty(), Optional.of(Duration.ofMillis(timeoutMillis)), 0, 0,
						OptionalLong.empty(), List.of()),
				new RecordingWriter(), new ClockReading(0, 0));
		exchange.admit(new RouteRule("route", "host", "/", RouteKind.STREAM, Duration.ofSeconds(20),
				Duration.ofMillis(800), 2, 1, false, true, List.of(new WeightedService("model", 1))),
				Optional.of(team));
		return this.callers.record(exchange, Duration.ofSeconds(nowSeconds).toNanos());
	}

	/** Fails if all requests of a team count as sent again since others grant more. */
	@Test
	void onlyRecentTimeoutsOfSameTeamCount() {
		assertThat(isReturning("patient", 20_000, 0)).isFalse();
		assertThat(isReturning("other", 5000, 1)).isFalse();
		assertThat(isReturning("patient", 5000, 31)).isTrue();
		assertThat(isReturning("patient", 5000, 62)).isFalse();
	}

}
