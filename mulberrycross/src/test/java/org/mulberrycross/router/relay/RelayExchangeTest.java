package org.mulberrycross.router.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.caller.RouteKind;
import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.caller.WeightedService;
import org.mulberrycross.engine.RequestTokens;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseHead;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against several attempts, or an attempt and the router, writing one response.
 */
class RelayExchangeTest {

	private static final ResponseHead HEAD = new ResponseHead(200, Headers.of(List.of()), OptionalLong.empty());

	private static final byte[] EVENT = "id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8);

	private final RecordingWriter writer = new RecordingWriter();

	private final RelayExchange exchange = new RelayExchange(
			new RelayRequest("GET", "/", Headers.of(List.of()), new byte[0]), new ClientCall("id", "host", "/",
					Optional.empty(), Optional.empty(), 1, 1, OptionalLong.empty(), List.of()),
			this.writer, ClockReading.now(MonotonicClock.system()));

	private RelayAttempt startAttempt() {
		Forwarding forwarding = new Forwarding(
				new UpstreamInstance("e", "s", new Address("127.0.0.1", 1), "dc", false, 1, 1), Duration.ofSeconds(1),
				Optional.empty(), Optional.empty(), OptionalLong.empty());
		RelayAttempt attempt = new RelayAttempt(this.exchange, forwarding, null, null, new RequestTokens(1, 1),
				new ResponseBuffers());
		this.exchange.startAttempt(attempt);
		return attempt;
	}

	/** Fails if events that arrive after a local response are written to the client. */
	@Test
	void dropsEventsAfterLocalResponse() {
		RelayAttempt attempt = startAttempt();
		assertThat(this.exchange.endWith(LocalResponse.of(504, "late"))).isTrue();
		assertThat(this.exchange.forwardEvents(attempt, HEAD, EVENT))
			.isEqualTo(RelayExchange.ForwardingResult.NO_PROGRESS);
		assertThat(this.exchange.endStream(attempt, HEAD)).isTrue();
		this.exchange.sendResponse(attempt, HEAD, EVENT);
		assertThat(this.writer.written()).containsExactly("start 504", "write", "end").inOrder();
	}

	/**
	 * Fails if an incomplete response that was partly sent ends as if it were complete.
	 */
	@Test
	void abortsStartedResponse() {
		RelayAttempt attempt = startAttempt();
		this.exchange.forwardEvents(attempt, HEAD, EVENT);
		assertThat(this.exchange.endWith(LocalResponse.of(504, "late"))).isFalse();
		assertThat(this.exchange.endStream(attempt, HEAD)).isTrue();
		assertThat(this.writer.written()).containsExactly("start 200", "write", "abort").inOrder();
	}

	/** Fails if a superseded attempt continues to write. */
	@Test
	void onlyCurrentAttemptWrites() {
		RelayAttempt previous = startAttempt();
		RelayAttempt current = startAttempt();
		this.exchange.forwardEvents(previous, HEAD, EVENT);
		assertThat(this.writer.written()).isEmpty();
		this.exchange.forwardEvents(current, HEAD, EVENT);
		assertThat(this.writer.written()).containsExactly("start 200", "write").inOrder();
	}

	/**
	 * Fails if data without an id is passed on: the client would get it once more from
	 * the attempt that goes on.
	 */
	@Test
	void dataWithoutIdIsNotPassedOn() {
		this.exchange.admit(streamRule(), Optional.empty());
		RelayAttempt attempt = startAttempt();
		this.exchange.forwardEvents(attempt, HEAD, EVENT);
		assertThat(this.exchange.isResumable()).isTrue();
		assertThat(this.exchange.forwardEvents(attempt, HEAD, "data: b\n\n".getBytes(StandardCharsets.UTF_8)))
			.isEqualTo(RelayExchange.ForwardingResult.INVALID_EVENT);
		assertThat(this.writer.written()).containsExactly("start 200", "write").inOrder();
		assertThat(this.exchange.isResumable()).isTrue();
	}

	private static RouteRule streamRule() {
		return new RouteRule("r", "host", "/", RouteKind.STREAM, Duration.ofSeconds(1), Duration.ofSeconds(1), 2, 0,
				true, false, List.of(new WeightedService("s", 1)));
	}

}
