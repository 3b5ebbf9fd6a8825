package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.http.MessageHead;

/**
 * The requests without a whole answer, and the ways in which they end other than by an
 * upstream's success. Owned by the control thread, except for {@link #count()}.
 */
final class OpenRequests {

	/** When a client may come back to another daemon, or after a short overload. */
	static final Duration RETRY_AFTER_BUSY = Duration.ofMillis(300);

	/** Statuses that promise that a request has not run. */
	private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	private final UpstreamChoice choice;

	private final RelayMetrics metrics;

	private final RequestLog requestLog;

	private final MonotonicClock clock;

	private final Set<RelayExchange> exchanges = new LinkedHashSet<>();

	private volatile int count;

	OpenRequests(UpstreamChoice choice, RelayMetrics metrics, RequestLog requestLog, MonotonicClock clock) {
		this.choice = choice;
		this.metrics = metrics;
		this.requestLog = requestLog;
		this.clock = clock;
	}

	// Returns the number of open requests. May be called on any thread.
	int count() {
		return this.count;
	}

	List<RelayExchange> all() {
		return List.copyOf(this.exchanges);
	}

	void begin(RelayExchange exchange) {
		this.exchanges.add(exchange);
		this.count = this.exchanges.size();
	}

	// Ends a request that this daemon does not take.
	void reject(RelayExchange exchange, OwnAnswer answer) {
		exchange.end(answer);
		finish(exchange, "rejected " + answer.status() + ": " + answer.reason());
	}

	// Ends a request that cannot be served.
	void giveUp(RelayExchange exchange, String reason, Duration retryAfter) {
		boolean neverRan = exchange.runs() == 0;
		OwnAnswer answer = neverRan ? OwnAnswer.notRun(retryAfter, reason) : OwnAnswer.of(502, reason);
		boolean answered = exchange.end(answer);
		finish(exchange, (answered ? (neverRan ? "refused: " : "failed: ") : "broken off: ") + reason);
	}

	// Ends a request whose time is over.
	void expire(RelayExchange exchange) {
		RelayAttempt attempt = exchange.current();
		if (attempt != null) {
			attempt.cancel();
		}
		exchange.end((exchange.runs() == 0) ? OwnAnswer.notRun(RETRY_AFTER_BUSY, "no upstream in time")
				: OwnAnswer.of(504, "no answer in time"));
		finish(exchange, "timed out");
	}

	// Passes on an upstream's failure, unless its status would promise too much.
	void relayFailure(RelayAttempt attempt, MessageHead head, UpstreamAnswer answer, byte[] body) {
		RelayExchange exchange = attempt.exchange();
		if (exchange.started() || PROMISES.contains(head.status()) || !answer.signed()) {
			exchange.end(OwnAnswer.of(502, "upstream failed with status " + head.status()));
		}
		else {
			exchange.answer(attempt, head, body);
		}
		finish(exchange, "upstream status " + head.status());
	}

	void finish(RelayExchange exchange, String outcome) {
		if (exchange.finished()) {
			return;
		}
		RelayAttempt attempt = exchange.current();
		if (attempt != null) {
			this.choice.ended(attempt);
		}
		exchange.finish();
		this.exchanges.remove(exchange);
		this.count = this.exchanges.size();
		this.metrics.ended(outcome, exchange.age(this.clock.nanos()));
		this.requestLog.ended(exchange, outcome);
	}

}
