package org.mulberrycross.router.relay;

import java.time.Duration;

/**
 * Tells when the silence of an upstream is too long. Thread-safe.
 */
final class AttemptTimeouts {

	/** Bound on opening a connection: hundreds of round trips within a region. */
	static final Duration CONNECT = Duration.ofMillis(300);

	/**
	 * Silence of a stream after which it goes on elsewhere: well over the longest pause
	 * that is still on time, and far below the time after which engines give up.
	 */
	private static final Duration STREAM_SILENCE = Duration.ofMillis(600);

	/** Silence of a stream after which its first engine is asked what holds it up. */
	private static final Duration STREAM_SUSPICION = Duration.ofMillis(250);

	/** Wait for the first event after which a stream starts elsewhere. */
	private static final Duration FIRST_EVENT_SILENCE = Duration.ofMillis(1500);

	/**
	 * Wait for the first event after which the first engine is asked what holds it up.
	 */
	private static final Duration FIRST_EVENT_SUSPICION = Duration.ofMillis(500);

	/** Objectives that a plain service may take before another instance is asked. */
	private static final int OBJECTIVES_BEFORE_REPEAT = 2;

	private AttemptTimeouts() {
	}

	static boolean unconnected(RelayAttempt attempt, long nowNanos) {
		return !attempt.wasSent() && nowNanos - attempt.begunNanos() > CONNECT.toNanos();
	}

	// Returns whether the first engine of a path should be asked what holds up the
	// request.
	static boolean suspicious(RelayAttempt attempt, long nowNanos) {
		Duration limit = attempt.dataSeen() ? STREAM_SUSPICION : FIRST_EVENT_SUSPICION;
		return attempt.forwarding().path().isPresent() && nowNanos - attempt.lastSignNanos() > limit.toNanos();
	}

	// Returns whether the request should go on elsewhere, if it may run again.
	static boolean silent(RelayExchange exchange, RelayAttempt attempt, long nowNanos) {
		return nowNanos - attempt.lastSignNanos() > limit(exchange, attempt).toNanos();
	}

	private static Duration limit(RelayExchange exchange, RelayAttempt attempt) {
		if (!exchange.stream()) {
			return exchange.rule().objective().multipliedBy(OBJECTIVES_BEFORE_REPEAT);
		}
		return attempt.dataSeen() ? STREAM_SILENCE : FIRST_EVENT_SILENCE;
	}

}
