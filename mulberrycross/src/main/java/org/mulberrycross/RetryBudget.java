package org.mulberrycross;

/**
 * Token bucket that limits retries relative to other work, so that retries cannot
 * multiply the load when many attempts fail. Thread-safe.
 */
public final class RetryBudget {

	private final double perCall;

	private final double capacity;

	private double available;

	/**
	 * Creates a full budget.
	 * @param perCall the retries that each call adds, more than 0
	 * @param capacity the largest number of saved retries, at least 1; also the number of
	 * retries that are possible before the first call
	 */
	public RetryBudget(double perCall, double capacity) {
		if (!(perCall > 0) || !(capacity >= 1)) {
			throw new IllegalArgumentException("perCall " + perCall + ", capacity " + capacity);
		}
		this.perCall = perCall;
		this.capacity = capacity;
		this.available = capacity;
	}

	/**
	 * Notes a call that earns part of a retry.
	 */
	public synchronized void earned() {
		this.available = Math.min(this.capacity, this.available + this.perCall);
	}

	/**
	 * Returns whether a retry is left.
	 * @return whether {@link #tryRetry()} would succeed now
	 */
	public synchronized boolean hasRetry() {
		return this.available >= 1;
	}

	/**
	 * Takes one retry from the budget.
	 * @return false if the budget is used up and the attempt must not be repeated
	 */
	public synchronized boolean tryRetry() {
		if (this.available < 1) {
			return false;
		}
		this.available--;
		return true;
	}

}
