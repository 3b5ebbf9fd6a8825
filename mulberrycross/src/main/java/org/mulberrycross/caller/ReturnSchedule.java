package org.mulberrycross.caller;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Tells refused callers when to come back: one after the other at the rate at which room
 * comes free, so that they do not return as one wave. Not thread-safe; owned by the
 * control thread.
 */
public final class ReturnSchedule {

	/** The part of a caller's remaining time up to which it honours the given time. */
	private static final int REMAINING_TIME_DIVISOR = 3;

	/** Random part of each time, which separates callers of different daemons. */
	private static final double JITTER = 0.5;

	/** Shortest time, so that no caller returns without any pause. */
	private static final Duration MIN_DELAY = Duration.ofMillis(1);

	private final RandomGenerator random;

	private long nextReturnNanos;

	private boolean used;

	/**
	 * Creates a schedule without callers.
	 * @param random the source of random numbers, not null
	 */
	public ReturnSchedule(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Books the return of a refused caller.
	 * @param shortest the time after which the first refused caller may return, not null
	 * @param intervalNanos the expected time until room for one request comes free
	 * @param remaining the time until the caller's deadline, not null
	 * @param now the time on the daemon's monotonic clock, in nanoseconds
	 * @return the time after which the caller may return, at most a third of its
	 * remaining time but at least 1 ms
	 */
	public Duration book(Duration shortest, double intervalNanos, Duration remaining, long now) {
		long earliestNanos = now + shortest.toNanos();
		long returnNanos = (this.used && this.nextReturnNanos - earliestNanos > 0) ? this.nextReturnNanos
				: earliestNanos;
		long longestNanos = Math.max(MIN_DELAY.toNanos(), remaining.toNanos() / REMAINING_TIME_DIVISOR);
		double spread = 1 + JITTER * this.random.nextDouble();
		double delayNanos = (returnNanos - now) * spread;
		if (delayNanos > longestNanos) {
			// Room is booked beyond what the caller accepts. It gets a random place in
			// the later half of the accepted time and books nothing.
			return atLeastMinimum(longestNanos * (1 - JITTER * this.random.nextDouble()));
		}
		this.used = true;
		this.nextReturnNanos = returnNanos + (long) intervalNanos;
		return atLeastMinimum(delayNanos);
	}

	private static Duration atLeastMinimum(double delayNanos) {
		return Duration.ofNanos(Math.max(MIN_DELAY.toNanos(), (long) delayNanos));
	}

}
