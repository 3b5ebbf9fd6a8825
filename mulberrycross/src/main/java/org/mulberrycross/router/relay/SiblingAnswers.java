package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.sibling.Sibling;
import org.mulberrycross.sibling.http.RelayedRequests;

/**
 * Handles what becomes of requests that were passed on to a sibling, other than answers
 * of upstreams. Confined to the control thread; not thread-safe.
 */
final class SiblingAnswers {

	private static final double MILLIS_PER_SECOND = 1000;

	private final SiblingFallback fallback;

	private final RequestDispatcher dispatcher;

	private final InFlightRequests inFlight;

	private final RequestLog requestLog;

	/** Sends a request that may have run once more, or fails it, for a reason. */
	private final BiConsumer<RelayExchange, String> retryExecuted;

	private final MonotonicClock clock;

	SiblingAnswers(SiblingFallback fallback, RequestDispatcher dispatcher, InFlightRequests inFlight,
			RequestLog requestLog, BiConsumer<RelayExchange, String> retryExecuted, MonotonicClock clock) {
		this.fallback = fallback;
		this.dispatcher = dispatcher;
		this.inFlight = inFlight;
		this.requestLog = requestLog;
		this.retryExecuted = retryExecuted;
		this.clock = clock;
	}

	// Handles an answer that the sibling itself has given. Statuses that say so promise
	// that the request has not run.
	void handleRejection(RelayAttempt attempt, ResponseHead head) {
		RelayExchange exchange = attempt.exchange();
		String reason = "sibling answered with status " + head.status();
		if (!InFlightRequests.NOT_EXECUTED_STATUSES.contains(head.status())) {
			handleOtherStatus(exchange, head.status(), reason);
			return;
		}
		exchange.addExecutions(-1);
		if (head.status() == RelayedRequests.STATUS_MISDIRECTED) {
			exclude(attempt);
			if (sendAgain(exchange, reason)) {
				return;
			}
		}
		this.inFlight.fail(exchange, reason, retryAfter(head));
	}

	// A sibling may know another version of the configuration, so that it rejects a
	// request that this daemon has admitted.
	private void handleOtherStatus(RelayExchange exchange, int status, String reason) {
		if (status >= 500) {
			this.retryExecuted.accept(exchange, reason);
			return;
		}
		exchange.addExecutions(-1);
		this.inFlight.reject(exchange, LocalResponse.of(status, reason));
	}

	private static Duration retryAfter(ResponseHead head) {
		Optional<String> value = head.headers().firstValue("Retry-After");
		try {
			return value.map((seconds) -> Duration.ofMillis((long) (Double.parseDouble(seconds) * MILLIS_PER_SECOND)))
				.orElse(InFlightRequests.RETRY_AFTER_BUSY);
		}
		catch (NumberFormatException ex) {
			return InFlightRequests.RETRY_AFTER_BUSY;
		}
	}

	// Handles an attempt without a complete answer.
	void handleFailure(RelayAttempt attempt, String reason, boolean mayHaveExecuted) {
		RelayExchange exchange = attempt.exchange();
		attempt.cancel();
		// The cause may be an upstream of the sibling, which takes another one next time.
		if (mayHaveExecuted) {
			this.retryExecuted.accept(exchange, reason);
			return;
		}
		exclude(attempt);
		exchange.addExecutions(-1);
		if (!sendAgain(exchange, reason)) {
			this.inFlight.fail(exchange, reason, InFlightRequests.RETRY_AFTER_BUSY);
		}
	}

	private void exclude(RelayAttempt attempt) {
		Optional<Sibling> sibling = attempt.sibling();
		sibling.ifPresent((present) -> {
			attempt.exchange().failedUpstreams().add(present.name());
			this.fallback.recordRefusal(present, this.clock.nanos());
		});
	}

	// Passes a request that no upstream has received on to a sibling, and returns whether
	// it did. The upstreams get it for the first time, so it is no retry for them.
	boolean sendAgain(RelayExchange exchange, String reason) {
		if (!RetryPolicy.mayTryAgain(exchange) || !this.dispatcher.dispatchToSibling(exchange)) {
			return false;
		}
		this.requestLog.logRetry(exchange, reason);
		return true;
	}

}
