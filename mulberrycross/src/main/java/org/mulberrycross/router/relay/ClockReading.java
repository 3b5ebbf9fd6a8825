package org.mulberrycross.router.relay;

import java.time.Duration;

import org.mulberrycross.MonotonicClock;

/**
 * A point in time on both the monotonic and the wall clock, for ages that must not be
 * underestimated. The age is the larger difference of both clocks, because the monotonic
 * clock stops while the machine is suspended and the wall clock may be set back.
 * Immutable and thread-safe.
 *
 * @param monotonicNanos the time on the monotonic clock
 * @param wallMillis the time on the wall clock, in Unix milliseconds
 */
public record ClockReading(long monotonicNanos, long wallMillis) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Reads both clocks.
	 * @param clock the monotonic clock, not null
	 * @return the current time
	 */
	static ClockReading now(MonotonicClock clock) {
		return new ClockReading(clock.nanos(), System.currentTimeMillis());
	}

	/**
	 * Returns a later point in time.
	 * @param time the time to add, not null
	 * @return the later point in time
	 */
	ClockReading plus(Duration time) {
		return new ClockReading(this.monotonicNanos + time.toNanos(), this.wallMillis + time.toMillis());
	}

	/**
	 * Returns the time between this reading and a later one.
	 * @param now the later reading, not null
	 * @return the age in milliseconds
	 */
	long ageMillis(ClockReading now) {
		return Math.max((now.monotonicNanos - this.monotonicNanos) / NANOS_PER_MILLI, now.wallMillis - this.wallMillis);
	}

}
