package org.mulberrycross.router.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Address;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.caller.RouteKind;
import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.caller.WeightedService;
import org.mulberrycross.engine.EventStream;
import org.mulberrycross.engine.RequestTokens;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseHead;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against upstreams in trouble that send bytes without end, which must neither
 * fill the memory nor keep a request open.
 */
class RelayAttemptTest {

	private static final int PART_BYTES = 64 << 10;

	private static final int SERVERS = 200;

	private final ResponseBuffers buffers = new ResponseBuffers();

	private final List<String> failures = new ArrayList<>();

	private final RecordingWriter writer = new RecordingWriter();

	private RelayAttempt startAttempt(RouteKind kind) {
		RelayExchange exchange = new RelayExchange(
				new RelayRequest("GET", "/", Headers.of(List.of()), new byte[0]), new ClientCall("id", "host", "/",
						Optional.empty(), Optional.empty(), 1, 1, OptionalLong.empty(), List.of()),
				this.writer, ClockReading.now(MonotonicClock.system()));
		exchange.admit(new RouteRule("route", "host", "/", kind, Duration.ofSeconds(9), Duration.ofSeconds(1), 3, 0,
				false, true, List.of(new WeightedService("s", 1))), Optional.empty());
		Forwarding forwarding = new Forwarding(
				new UpstreamInstance("e", "s", new Address("127.0.0.1", 1), "dc", false, 1, 1), Duration.ofSeconds(1),
				Optional.empty(), Optional.empty(), OptionalLong.empty());
		RelayAttempt attempt = new RelayAttempt(exchange, forwarding, new SignedFormat(), new RecordingListener(),
				new RequestTokens(1, 1), this.buffers);
		exchange.startAttempt(attempt);
		attempt.onHead(new ResponseHead(200, Headers.of(List.of()), OptionalLong.empty()));
		return attempt;
	}

	/** Fails if one body without end is received until the memory is full. */
	@Test
	void failsResponseWhoseBodyDoesNotEnd() {
		RelayAttempt attempt = startAttempt(RouteKind.IDEMPOTENT);
		for (int bytes = 0; bytes < 2 * ResponseBuffers.MAX_BODY_BYTES; bytes += PART_BYTES) {
			attempt.onData(new byte[PART_BYTES]);
		}
		assertThat(this.failures).containsExactly("response body is too long");
	}

	/** Fails if many bodies, each below its limit, together fill the memory. */
	@Test
	void limitsAllBodiesTogether() {
		List<RelayAttempt> attempts = new ArrayList<>();
		for (int i = 0; i < SERVERS; i++) {
			attempts.add(startAttempt(RouteKind.IDEMPOTENT));
		}
		for (int bytes = 0; bytes < ResponseBuffers.MAX_BODY_BYTES; bytes += PART_BYTES) {
			attempts.forEach((attempt) -> attempt.onData(new byte[PART_BYTES]));
		}
		int possible = ResponseBuffers.MAX_TOTAL_BYTES / ResponseBuffers.MAX_BODY_BYTES;
		assertThat(this.failures.size()).isAtLeast(SERVERS - possible);
		attempts.forEach(RelayAttempt::cancel);
		RelayAttempt next = startAttempt(RouteKind.IDEMPOTENT);
		this.failures.clear();
		next.onData(new byte[PART_BYTES]);
		assertThat(this.failures).isEmpty();
	}

	/**
	 * Fails if an attempt that is cancelled while its response ends sends the emptied
	 * body as a complete response.
	 */
	@Test
	void cancelledAttemptSendsNoResponse() {
		RelayAttempt attempt = startAttempt(RouteKind.IDEMPOTENT);
		attempt.onData(new byte[PART_BYTES]);
		attempt.cancel();
		attempt.onComplete();
		assertThat(this.writer.written()).isEmpty();
		assertThat(this.failures).isEmpty();
	}

	/**
	 * Fails if comments without end are read until the route's timeout. 600 such streams
	 * kept a daemon so busy that it found no time for half of its other requests.
	 */
	@Test
	void failsStreamOfEndlessComments() {
		RelayAttempt attempt = startAttempt(RouteKind.STREAM);
		attempt.onData("id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8));
		byte[] comment = (": " + "a".repeat(1020) + "\n\n").getBytes(StandardCharsets.UTF_8);
		for (int bytes = 0; bytes <= RelayAttempt.MAX_BYTES_WITHOUT_EVENT; bytes += comment.length) {
			assertThat(this.failures).isEmpty();
			attempt.onData(comment);
		}
		assertThat(this.failures).containsExactly("the stream sends bytes without an event");
	}

	/**
	 * Pattern: an engine in trouble answers with lines that are no events, with comments
	 * or empty events, or with data without ids, without end (review/9). Fails if they
	 * count as progress until the first event, so that they are passed on until the
	 * client gives up, or if the client gets any of them.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "0123456789\n\n", ": comment\n\n", "event: x\n\n", "retry: 1\n\n", "\n\n",
			"data: 0123456789\n\n", "id: x\ndata: 0\n\n" })
	void failsStreamWithoutFirstEvent(String text) {
		RelayAttempt attempt = startAttempt(RouteKind.STREAM);
		byte[] part = text.repeat(100).getBytes(StandardCharsets.UTF_8);
		for (int bytes = 0; bytes <= 2 * RelayAttempt.MAX_BYTES_WITHOUT_EVENT; bytes += part.length) {
			attempt.onData(part);
		}
		assertThat(this.failures).hasSize(1);
		assertThat(this.writer.written()).isEmpty();
	}

	/** Fails if the same text after an event keeps the stream alive or is passed on. */
	@ParameterizedTest
	@ValueSource(strings = { "0123456789\n\n", ": comment\n\n", "retry: 1\n\n", "data: 0123456789\n\n" })
	void failsStreamThatGoesOnWithoutEvents(String text) {
		RelayAttempt attempt = startAttempt(RouteKind.STREAM);
		attempt.onData("id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8));
		byte[] part = text.repeat(100).getBytes(StandardCharsets.UTF_8);
		for (int bytes = 0; bytes <= 2 * RelayAttempt.MAX_BYTES_WITHOUT_EVENT; bytes += part.length) {
			attempt.onData(part);
		}
		assertThat(this.failures).hasSize(1);
		assertThat(this.writer.written()).containsExactly("start 200", "write").inOrder();
	}

	/**
	 * Fails if many events without end, each below its limit, together fill the memory. A
	 * daemon with 600 such streams ran out of it, and requests of others failed.
	 */
	@Test
	void limitsAllIncompleteEventsTogether() {
		int possible = ResponseBuffers.MAX_TOTAL_BYTES / EventStream.MAX_EVENT_BYTES;
		List<RelayAttempt> attempts = new ArrayList<>();
		for (int i = 0; i < 2 * possible; i++) {
			attempts.add(startAttempt(RouteKind.STREAM));
		}
		for (int bytes = PART_BYTES; bytes <= EventStream.MAX_EVENT_BYTES; bytes += PART_BYTES) {
			attempts.forEach((attempt) -> attempt.onData(new byte[PART_BYTES]));
		}
		assertThat(this.failures.size()).isAtLeast(possible - 1);
		attempts.forEach(RelayAttempt::cancel);
		RelayAttempt next = startAttempt(RouteKind.STREAM);
		this.failures.clear();
		next.onData(new byte[PART_BYTES]);
		assertThat(this.failures).isEmpty();
	}

	/**
	 * Fails if the response of a sound upstream is lost because others send bytes without
	 * end.
	 */
	@Test
	void keepsSmallResponsesBesideLargeOnes() {
		for (int i = 0; i < SERVERS; i++) {
			RelayAttempt attempt = startAttempt(RouteKind.IDEMPOTENT);
			for (int bytes = 0; bytes < ResponseBuffers.MAX_BODY_BYTES; bytes += PART_BYTES) {
				attempt.onData(new byte[PART_BYTES]);
			}
		}
		this.failures.clear();
		startAttempt(RouteKind.AT_MOST_ONCE).onData(new byte[ResponseBuffers.SMALL_BYTES]);
		startAttempt(RouteKind.STREAM).onData(new byte[ResponseBuffers.SMALL_BYTES]);
		assertThat(this.failures).isEmpty();
	}

	/** Fails if an event without end is received until the memory is full. */
	@Test
	void failsStreamWhoseEventDoesNotEnd() {
		RelayAttempt attempt = startAttempt(RouteKind.STREAM);
		for (int bytes = 0; bytes <= 2 * EventStream.MAX_EVENT_BYTES; bytes += PART_BYTES) {
			attempt.onData(new byte[PART_BYTES]);
		}
		assertThat(this.failures).containsExactly("an event of the stream is too long");
	}

	/**
	 * Fails if single bytes or comments without an event keep a stalled stream alive, or
	 * if an event does not.
	 */
	@Test
	void onlyEventsAreProgressOfStream() {
		RelayAttempt attempt = startAttempt(RouteKind.STREAM);
		attempt.onData("i".getBytes(StandardCharsets.UTF_8));
		assertThat(attempt.hasReceivedData()).isFalse();
		attempt.onData("d: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8));
		assertThat(attempt.hasReceivedData()).isTrue();
		long afterEvent = attempt.lastActivityNanos();
		attempt.onData(": wait\n\n".getBytes(StandardCharsets.UTF_8));
		assertThat(attempt.lastActivityNanos()).isEqualTo(afterEvent);
		assertThat(this.failures).isEmpty();
	}

	/** Records the reasons of failures. */
	private final class RecordingListener implements AttemptListener {

		@Override
		public void onFirstData(RelayAttempt attempt) {
			// Not of interest here.
		}

		@Override
		public void onCompleted(RelayAttempt attempt) {
			throw new AssertionError("completed");
		}

		@Override
		public void onErrorResponse(RelayAttempt attempt, ResponseHead head, UpstreamResponseHead upstreamHead,
				byte[] body) {
			throw new AssertionError("error response");
		}

		@Override
		public void onConnected(RelayAttempt attempt) {
			// Not needed here.
		}

		@Override
		public void onNotice(RelayAttempt attempt, UpstreamResponseHead upstreamHead, long receivedNanos) {
		}

		@Override
		public void onAttemptFailed(RelayAttempt attempt, String reason) {
			RelayAttemptTest.this.failures.add(reason);
		}

	}

}
