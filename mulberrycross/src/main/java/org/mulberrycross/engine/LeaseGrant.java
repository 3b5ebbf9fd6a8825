package org.mulberrycross.engine;

import java.time.Duration;

/**
 * Right of this daemon to send orders for a time. Immutable and thread-safe.
 *
 * @param fencing the fencing number of its orders, positive
 * @param validUntilNanos the end of the right on the daemon's monotonic clock
 */
public record LeaseGrant(long fencing, long validUntilNanos) {

	/**
	 * Returns whether the right lasts for some more time.
	 * @param time the time that has to remain, not negative
	 * @param nowNanos the daemon's monotonic clock
	 * @return true if more than that time remains
	 */
	public boolean lasts(Duration time, long nowNanos) {
		return this.validUntilNanos - nowNanos > time.toNanos();
	}

}
