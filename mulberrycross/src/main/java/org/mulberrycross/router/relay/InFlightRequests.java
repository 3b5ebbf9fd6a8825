package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.sibling.Sibling;

/**
 * The requests whose response is not complete yet. Ends those that are rejected, fail or
 * time out. Confined to the control thread, except for {@link #count()}.
 */
final class InFlightRequests {

	/**
	 * Retry-After value if another daemon may serve the request or the overload is short.
	 */
	static final Duration RETRY_AFTER_BUSY = Duration.ofMillis(300);

	/** Statuses that tell the client that its request was not executed. */
	static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

	private final UpstreamSelector selector;

	private final RelayMetrics metrics;

	private final RequestLog requestLog;

	private final MonotonicClock clock;

	private final Set<RelayExchange> exchanges = new LinkedHashSet<>();

	/** Called at the end of each request that was sent to an upstream. */
	private final SentEndListener onSentEnded;

	private volatile int count;

	InFlightRequests(UpstreamSelector selector, RelayMetrics metrics, RequestLog requestLog, MonotonicClock clock,
			SentEndListener onSentEnded) {
		this.selector = selector;
		this.metrics = metrics;
		this.requestLog = requestLog;
		this.clock = clock;
		this.onSentEnded = onSentEnded;
	}

	// Returns the number of requests in flight. May be called on any thread.
	int count() {
		return this.count;
	}

	// Returns the number of requests that are under way at a sibling.
	int countAt(Sibling sibling) {
		return (int) this.exchanges.stream()
			.map(RelayExchange::currentAttempt)
			.filter((attempt) -> attempt != null && attempt.sibling().equals(Optional.of(sibling)))
			.count();
	}

	List<RelayExchange> snapshot() {
		return List.copyOf(this.exchanges);
	}

	// Adds a request, unless its client has left before. Returns whether it was added.
	boolean add(RelayExchange exchange) {
		if (exchange.isFinished()) {
			return false;
		}
		this.exchanges.add(exchange);
		this.count = this.exchanges.size();
		return true;
	}

	// Ends a request that was not admitted.
	void reject(RelayExchange exchange, LocalResponse response) {
		exchange.endWith(response);
		finish(exchange, "rejected " + response.status() + ": " + response.reason());
	}

	// Ends a request that cannot be served, with status 503 if no upstream executed it
	// and 502 otherwise.
	void fail(RelayExchange exchange, String reason, Duration retryAfter) {
		boolean notExecuted = exchange.executions() == 0;
		LocalResponse response = notExecuted ? LocalResponse.notExecuted(retryAfter, reason)
				: LocalResponse.of(502, reason);
		boolean sent = exchange.endWith(response);
		finish(exchange, (sent ? (notExecuted ? "refused: " : "failed: ") : "broken off: ") + reason);
	}

	// Ends all requests that have not ended, and cancels their attempts.
	void failAll(String reason) {
		for (RelayExchange exchange : snapshot()) {
			if (exchange.currentAttempt() != null) {
				exchange.currentAttempt().cancel();
			}
			fail(exchange, reason, RETRY_AFTER_BUSY);
		}
	}

	// Ends a request whose deadline has passed.
	void timeOut(RelayExchange exchange) {
		RelayAttempt attempt = exchange.currentAttempt();
		if (attempt != null) {
			attempt.cancel();
		}
		exchange
			.endWith((exchange.executions() == 0) ? LocalResponse.notExecuted(RETRY_AFTER_BUSY, "no upstream in time")
					: LocalResponse.of(504, "no answer in time"));
		finish(exchange, "timed out");
	}

	// Forwards an upstream's error response. Sends status 502 instead if the upstream did
	// not sign it or if its status would wrongly tell the client that the request was not
	// executed. Aborts a response that has already started.
	void forwardError(RelayAttempt attempt, ResponseHead head, UpstreamResponseHead upstreamHead, byte[] body) {
		RelayExchange exchange = attempt.exchange();
		if (exchange.isResponseStarted() || NOT_EXECUTED_STATUSES.contains(head.status()) || !upstreamHead.signed()) {
			exchange.endWith(LocalResponse.of(502, "upstream failed with status " + head.status()));
		}
		else {
			exchange.sendResponse(attempt, head, body);
		}
		finish(exchange, "upstream status " + head.status());
	}

	// Ends a request that was answered in full by an upstream.
	void complete(RelayExchange exchange) {
		finish(exchange, "complete", true);
	}

	void finish(RelayExchange exchange, String outcome) {
		finish(exchange, outcome, false);
	}

	private void finish(RelayExchange exchange, String outcome, boolean isComplete) {
		if (exchange.isFinished()) {
			return;
		}
		RelayAttempt attempt = exchange.currentAttempt();
		if (attempt != null) {
			this.selector.releaseLoad(attempt);
		}
		exchange.markFinished();
		this.exchanges.remove(exchange);
		this.count = this.exchanges.size();
		this.metrics.recordEnd(outcome, exchange.age(this.clock.nanos()));
		this.requestLog.logEnded(exchange, outcome);
		if (exchange.attempts() > 0) {
			this.onSentEnded.onSentEnded(exchange, isComplete);
		}
	}

	/** Told of the end of each request that was sent to an upstream. */
	@FunctionalInterface
	interface SentEndListener {

		void onSentEnded(RelayExchange exchange, boolean isComplete);

	}

}
