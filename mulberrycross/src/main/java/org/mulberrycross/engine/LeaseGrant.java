package org.mulberrycross.engine;

import java.time.Duration;

/**
 * Time-limited permission of this daemon to send orders, derived from a lease that it
 * holds. Immutable and thread-safe.
 *
 * @param fencing the fencing number for its orders, positive
 * @param validUntilNanos the expiry time on the daemon's monotonic clock
 */
public record LeaseGrant(long fencing, long validUntilNanos) {

	/**
	 * Returns whether the grant stays valid for longer than a given time.
	 * @param time the required remaining time, not negative
	 * @param nowNanos the current time on the daemon's monotonic clock
	 * @return true if more than that time remains
	 */
	public boolean isValidFor(Duration time, long nowNanos) {
		return this.validUntilNanos - nowNanos > time.toNanos();
	}

}
