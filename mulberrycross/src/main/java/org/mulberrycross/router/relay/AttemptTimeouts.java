package org.mulberrycross.router.relay;

import java.time.Duration;

/**
 * Timeouts of an attempt, for the connection and for data from the upstream. Thread-safe.
 */
final class AttemptTimeouts {

	/** Timeout for opening a connection; hundreds of round trips within a region. */
	static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

	/**
	 * Time without data after which a started stream is moved to another path: well over
	 * the longest pause that still meets the objective, and far below the time after
	 * which engines give up on a request.
	 */
	private static final Duration STREAM_IDLE_TIMEOUT = Duration.ofMillis(600);

	/**
	 * Time without data after which a started stream's first engine is probed for stalls.
	 */
	static final Duration STREAM_PROBE_DELAY = Duration.ofMillis(250);

	/** Time without the first event after which a stream is started elsewhere. */
	private static final Duration FIRST_EVENT_TIMEOUT = Duration.ofMillis(1500);

	/**
	 * Time without the first event after which a path's first engine is probed.
	 */
	private static final Duration FIRST_EVENT_PROBE_DELAY = Duration.ofMillis(500);

	/**
	 * Multiple of the route's target latency after which a request to a plain service is
	 * retried on another instance.
	 */
	private static final int RETRY_TARGET_LATENCY_MULTIPLE = 2;

	/**
	 * Part of the route's target latency without the first event after which the engines
	 * of the path may be slow. Requests that are sent later can then still be on time.
	 */
	private static final int SLOW_FIRST_EVENT_DIVISOR = 2;

	/**
	 * Multiple of the timeouts for a request that a sibling has passed on: it notices a
	 * silent upstream first.
	 */
	private static final int SIBLING_TIMEOUT_MULTIPLE = 2;

	private AttemptTimeouts() {
	}

	static boolean isConnectOverdue(RelayAttempt attempt, long nowNanos) {
		return !attempt.wasSent() && nowNanos - attempt.startedNanos() > CONNECT_TIMEOUT.toNanos();
	}

	// Returns whether the first engine of a path should be asked which engine is stalled.
	static boolean shouldProbe(RelayAttempt attempt, long nowNanos) {
		Duration probeDelay = attempt.hasReceivedData() ? STREAM_PROBE_DELAY : FIRST_EVENT_PROBE_DELAY;
		return nowNanos - attempt.lastActivityNanos() > probeDelay.toNanos();
	}

	// Returns whether the engines of a path should be asked for their speed.
	static boolean isFirstEventSlow(RelayExchange exchange, RelayAttempt attempt, long nowNanos) {
		Duration limit = exchange.rule().targetLatency().dividedBy(SLOW_FIRST_EVENT_DIVISOR);
		return !attempt.hasReceivedData() && nowNanos - attempt.startedNanos() > limit.toNanos();
	}

	// Returns whether the request should be retried elsewhere if it may be repeated.
	static boolean isResponseOverdue(RelayExchange exchange, RelayAttempt attempt, long nowNanos) {
		Duration timeout = dataTimeout(exchange, attempt);
		return nowNanos - attempt.lastActivityNanos() > timeout.toNanos()
				* (attempt.sibling().isPresent() ? SIBLING_TIMEOUT_MULTIPLE : 1);
	}

	private static Duration dataTimeout(RelayExchange exchange, RelayAttempt attempt) {
		if (!exchange.isStream()) {
			return exchange.rule().targetLatency().multipliedBy(RETRY_TARGET_LATENCY_MULTIPLE);
		}
		return attempt.hasReceivedData() ? STREAM_IDLE_TIMEOUT : FIRST_EVENT_TIMEOUT;
	}

}
