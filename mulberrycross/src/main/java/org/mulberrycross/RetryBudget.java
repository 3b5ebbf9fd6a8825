package org.mulberrycross;

/**
 * Token bucket that limits retries to a fraction of the calls, so that retries cannot
 * multiply the load when many attempts fail. Thread-safe.
 */
public final class RetryBudget {

	private final double retriesPerCall;

	private final double maxRetries;

	private double availableRetries;

	/**
	 * Creates a full budget.
	 * @param retriesPerCall the retries that each call adds to the budget, more than 0
	 * @param maxRetries the capacity of the budget, at least 1; also the number of
	 * retries that are possible before the first call
	 * @throws IllegalArgumentException if a value is out of range or not a number
	 */
	public RetryBudget(double retriesPerCall, double maxRetries) {
		if (!(retriesPerCall > 0) || !(maxRetries >= 1)) {
			throw new IllegalArgumentException("retriesPerCall must be more than 0 but is " + retriesPerCall
					+ ", maxRetries must be at least 1 but is " + maxRetries);
		}
		this.retriesPerCall = retriesPerCall;
		this.maxRetries = maxRetries;
		this.availableRetries = maxRetries;
	}

	/**
	 * Records the first attempt of a call, which adds {@code retriesPerCall} retries to
	 * the budget, up to its capacity.
	 */
	public synchronized void recordCall() {
		this.availableRetries = Math.min(this.maxRetries, this.availableRetries + this.retriesPerCall);
	}

	/**
	 * Returns whether the budget covers a retry, without taking it.
	 * @return true if {@link #tryRetry()} would succeed now
	 */
	public synchronized boolean hasRetry() {
		return this.availableRetries >= 1;
	}

	/**
	 * Takes one retry from the budget, if it covers one.
	 * @return false if the budget is exhausted and the call must not be retried
	 */
	public synchronized boolean tryRetry() {
		if (this.availableRetries < 1) {
			return false;
		}
		this.availableRetries--;
		return true;
	}

}
