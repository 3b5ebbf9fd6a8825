package org.mulberrycross.router.relay;

import java.time.Duration;

/**
 * Moving average of the time from sending a request to its first event. Confined to the
 * control thread; not thread-safe.
 */
final class FirstEventTimes {

	/** Weight of a new time, so that the average covers about the last 20 requests. */
	private static final double WEIGHT = 0.1;

	/**
	 * Multiple of the average from which a time is unusual. Under a load that delays all
	 * requests alike, no path is at fault.
	 */
	private static final double UNUSUAL_MULTIPLE = 2.5;

	private double meanNanos;

	void record(Duration time) {
		this.meanNanos += WEIGHT * (time.toNanos() - this.meanNanos);
	}

	// Returns whether a request that has waited this long is slower than others.
	boolean isUnusual(Duration wait) {
		return wait.toNanos() > UNUSUAL_MULTIPLE * this.meanNanos;
	}

}
