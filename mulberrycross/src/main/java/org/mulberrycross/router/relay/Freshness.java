package org.mulberrycross.router.relay;

import java.time.Duration;

import org.mulberrycross.MonotonicClock;

/**
 * A moment up to which something is surely known. The age counts by the steady clock and
 * by the time of day, and the larger one holds: the steady clock stands still while a
 * machine is suspended, and the time of day may be set back. Immutable and thread-safe.
 *
 * @param steadyNanos the moment by the steady clock
 * @param wallMillis the moment by the time of day
 */
public record Freshness(long steadyNanos, long wallMillis) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Returns the present moment.
	 * @param clock the steady clock, not null
	 * @return the moment
	 */
	static Freshness now(MonotonicClock clock) {
		return new Freshness(clock.nanos(), System.currentTimeMillis());
	}

	/**
	 * Returns a later moment.
	 * @param time the time to add, not null
	 * @return the moment
	 */
	Freshness plus(Duration time) {
		return new Freshness(this.steadyNanos + time.toNanos(), this.wallMillis + time.toMillis());
	}

	/**
	 * Returns the age.
	 * @param now the present moment, not null
	 * @return the age in milliseconds
	 */
	long ageMillis(Freshness now) {
		return Math.max((now.steadyNanos - this.steadyNanos) / NANOS_PER_MILLI, now.wallMillis - this.wallMillis);
	}

}
