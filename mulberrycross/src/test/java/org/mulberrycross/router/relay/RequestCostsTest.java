package org.mulberrycross.router.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.caller.RouteKind;
import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.caller.WeightedService;
import org.mulberrycross.engine.AcceleratorKind;
import org.mulberrycross.engine.EngineProfile;
import org.mulberrycross.engine.RequestTokens;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseHead;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against costs that don't follow the streams. Pattern: outputs of half the
 * declared maximum, and streams whose ids are times or that were interrupted.
 */
class RequestCostsTest {

	private static final int MAX_OUTPUT = 200;

	private static final long FIRST_ID = 1_733_400_000_123L;

	/** Outputs of 100 tokens on average. */
	private static final EngineProfile PROFILE = new EngineProfile(10, 100, 1, 1, 100, 100, 100, 1,
			Map.of("kind", new AcceleratorKind("kind", 2000, 1, 1)));

	private final RequestCosts costs = new RequestCosts();

	private static RelayExchange exchange(OptionalLong lastEventId, int events) {
		RelayExchange exchange = new RelayExchange(
				new RelayRequest("POST", "/", Headers.of(List.of()), new byte[0]), new ClientCall("id", "host", "/",
						Optional.empty(), Optional.empty(), 50, MAX_OUTPUT, lastEventId, List.of()),
				new RecordingWriter(), ClockReading.now(MonotonicClock.system()));
		exchange.admit(new RouteRule("route", "host", "/", RouteKind.STREAM, Duration.ofSeconds(9),
				Duration.ofSeconds(1), 3, 0, false, true, List.of(new WeightedService("s", 1))), Optional.of("team"));
		forward(exchange, null, events);
		return exchange;
	}

	// Forwards the events of a stream up to a number of them.
	private static void forward(RelayExchange exchange, RelayAttempt attempt, int events) {
		ResponseHead head = new ResponseHead(200, Headers.of(List.of()), OptionalLong.empty());
		for (long i = exchange.sentEvents(); i < events; i++) {
			exchange.forwardEvents(attempt, head,
					("id: " + (FIRST_ID + i) + "\ndata: a\n\n").getBytes(StandardCharsets.UTF_8));
		}
	}

	private RequestTokens estimate(RelayExchange exchange) {
		return this.costs.estimate(exchange, "s", PROFILE);
	}

	/**
	 * Fails if the output is not learned, or what is written counts as still to write.
	 */
	@Test
	void learnsTokensOfStreams() {
		assertThat(estimate(exchange(OptionalLong.empty(), 0))).isEqualTo(new RequestTokens(50, 100, 200));
		for (int i = 0; i < 50; i++) {
			this.costs.recordCompleted(exchange(OptionalLong.empty(), 25), "s", PROFILE);
		}
		assertThat(this.costs.recordCompleted(exchange(OptionalLong.empty(), 25), "s", PROFILE))
			.isEqualTo(OptionalDouble.of(100));
		RequestTokens tokens = estimate(exchange(OptionalLong.empty(), 0));
		assertThat(tokens.output()).isWithin(1).of(100);
		assertThat(tokens.highOutput()).isWithin(20).of(115);
		RequestTokens rest = estimate(exchange(OptionalLong.empty(), 10));
		assertThat(rest.prompt()).isWithin(1).of(90);
		assertThat(rest.output()).isWithin(1).of(60);
	}

	/** Fails if the rest of a stream that a client resumed counts as a whole output. */
	@Test
	void ignoresStreamsWhoseBeginningIsUnknown() {
		for (int i = 0; i < 50; i++) {
			assertThat(this.costs.recordCompleted(exchange(OptionalLong.of(FIRST_ID - 1), 25), "s", PROFILE))
				.isEqualTo(OptionalDouble.empty());
		}
		assertThat(estimate(exchange(OptionalLong.empty(), 0)).highOutput()).isEqualTo(200.0);
	}

	/**
	 * Pattern: the first streams of a restarted daemon that are complete are the short
	 * ones. Fails if all outputs are then taken for several times their length.
	 */
	@Test
	void streamsThatReachTheirMaximumBoundTokensOfEvents() {
		for (int i = 0; i < 20; i++) {
			this.costs.recordCompleted(exchange(OptionalLong.empty(), 10), "s", PROFILE);
		}
		assertThat(this.costs.recordCompleted(exchange(OptionalLong.empty(), MAX_OUTPUT / 2), "s", PROFILE))
			.isEqualTo(OptionalDouble.of(MAX_OUTPUT));
	}

	/**
	 * Pattern: outputs that differ by a factor of ten. Fails if a stream that goes on
	 * past its estimate holds no more memory than was expected of it.
	 */
	@Test
	void revisesStreamThatExceedsItsEstimate() {
		learnsTokensOfStreams();
		RelayExchange exchange = exchange(OptionalLong.empty(), 0);
		RelayAttempt attempt = new RelayAttempt(exchange,
				new Forwarding(new UpstreamInstance("e", "s", new Address("127.0.0.1", 1), "dc", false, 1, 1),
						Duration.ofSeconds(1), Optional.empty(), Optional.empty(), OptionalLong.empty()),
				new SignedFormat(), null, estimate(exchange), new ResponseBuffers());
		exchange.startAttempt(attempt);
		forward(exchange, attempt, 25);
		assertThat(this.costs.revise(attempt, PROFILE).map(RequestTokens::total)).isEqualTo(Optional.empty());
		forward(exchange, attempt, 50);
		RequestTokens revised = this.costs.revise(attempt, PROFILE).orElseThrow();
		assertThat(revised.total()).isWithin(5).of(50 + 200 * 1.25);
		attempt.setHeldTokens(revised);
		assertThat(this.costs.revise(attempt, PROFILE).isPresent()).isFalse();
		assertThat(attempt.tokens().output()).isWithin(1).of(100);
	}

}
