package org.mulberrycross;

/**
 * Source of monotonic time. Implementations are thread-safe.
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * Returns the current reading. Only differences between readings of one clock have a
	 * meaning.
	 * @return the reading in nanoseconds
	 */
	long nanos();

	/**
	 * Returns the clock of this process.
	 * @return a clock that reads {@link System#nanoTime()}
	 */
	static MonotonicClock system() {
		return System::nanoTime;
	}

}
