package org.mulberrycross.engine;

import java.time.Duration;

/**
 * Number of requests a second that an engine takes from all daemons together. Immutable
 * and thread-safe.
 * <p>
 * The limit is kept by a number of slots. A request occupies one for the window after it
 * was sent, so that no more requests than slots are sent within any window:
 *
 * <pre>
 * limit    slots  window
 * 0.5 /s       2  4.00 s
 * 2.5 /s       4  1.60 s
 * 11.6 /s     12  1.03 s
 * </pre>
 *
 * @param requestsPerSecond the limit, from {@link #MIN} to {@link #MAX}
 */
public record RateLimit(double requestsPerSecond) {

	/**
	 * Lowest limit. An engine that names a lower one still gets a request now and then,
	 * since only its next answer tells when the limit has ended.
	 */
	public static final double MIN = 0.05;

	/** Highest limit, which keeps the number of slots small. */
	public static final double MAX = 10_000;

	/**
	 * Minimum number of slots of a limit of at least one request a second, so that
	 * several daemons can hold a share of a low limit.
	 */
	private static final int MIN_SLOTS = 4;

	/** Longest window of a limit that has more than one slot, in seconds. */
	private static final double MAX_WINDOW_SECONDS = 4;

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Creates a limit.
	 * @param requestsPerSecond the limit
	 * @throws IllegalArgumentException if the limit is out of range or not a number
	 */
	public RateLimit {
		if (!(requestsPerSecond >= MIN && requestsPerSecond <= MAX)) {
			throw new IllegalArgumentException("limit " + requestsPerSecond + " is out of range");
		}
	}

	/**
	 * Creates the limit that is closest to a value.
	 * @param requestsPerSecond the value, not NaN
	 * @return the limit
	 */
	public static RateLimit closestTo(double requestsPerSecond) {
		return new RateLimit(Math.max(MIN, Math.min(MAX, requestsPerSecond)));
	}

	/**
	 * Returns the number of requests that may be sent within a window.
	 * @return the number, at least 1
	 */
	public int slots() {
		double inLongestWindow = Math.ceil(this.requestsPerSecond * MAX_WINDOW_SECONDS);
		return (int) Math.max(Math.ceil(this.requestsPerSecond), Math.min(MIN_SLOTS, inLongestWindow));
	}

	/**
	 * Returns the time for which a request occupies its slot.
	 * @return the time from when it is sent
	 */
	public Duration window() {
		return Duration.ofNanos((long) Math.ceil(slots() / this.requestsPerSecond * NANOS_PER_SECOND));
	}

}
