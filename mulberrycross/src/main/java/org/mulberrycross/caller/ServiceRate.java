package org.mulberrycross.caller;

/**
 * The rate at which running requests end and make room for others: their number divided
 * by the mean time that requests run. Not thread-safe; owned by the control thread.
 */
public final class ServiceRate {

	private static final double SMOOTHING_FACTOR = 0.05;

	private double meanNanos;

	private int running;

	/** Creates a rate without running requests. */
	public ServiceRate() {
		// All fields have their initial values.
	}

	/**
	 * Changes the number of running requests.
	 * @param delta the change
	 */
	public void adjustRunning(int delta) {
		this.running = Math.max(0, this.running + delta);
	}

	/**
	 * Adds to the exponentially weighted moving average of the time that requests run.
	 * @param serviceNanos the time that a request ran
	 */
	public void recordServiceTime(long serviceNanos) {
		this.meanNanos += ((this.meanNanos == 0) ? 1 : SMOOTHING_FACTOR) * (serviceNanos - this.meanNanos);
	}

	/**
	 * Returns the number of running requests.
	 * @return the number, 0 or more
	 */
	public int running() {
		return this.running;
	}

	/**
	 * Returns the expected time until a number of running requests has ended.
	 * @param count the number of requests, 0 or more
	 * @return the time in nanoseconds, 0 while no request has ended yet
	 */
	public double waitNanos(double count) {
		return waitNanos(count, this.running);
	}

	/**
	 * Returns the expected time until a number of requests has ended, if only some of
	 * those that run are considered.
	 * @param count the number of requests, 0 or more
	 * @param considered the number of running requests that are considered
	 * @return the time in nanoseconds, 0 while no request has ended yet
	 */
	public double waitNanos(double count, int considered) {
		return count * this.meanNanos / Math.max(1, considered);
	}

}
