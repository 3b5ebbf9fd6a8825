package org.mulberrycross;

/**
 * Source of monotonic time. Implementations are thread-safe.
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * Returns the current time of this clock. Only the difference between two times of
	 * the same clock is meaningful.
	 * @return the time in nanoseconds since an arbitrary origin
	 */
	long nanos();

	/**
	 * Returns the system clock.
	 * @return a clock based on {@link System#nanoTime()}
	 */
	static MonotonicClock system() {
		return System::nanoTime;
	}

}
