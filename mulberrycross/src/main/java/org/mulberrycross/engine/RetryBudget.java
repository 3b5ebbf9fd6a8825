package org.mulberrycross.engine;

/**
 * Token bucket that limits retries relative to successes, so that retries cannot multiply
 * the load when many attempts fail. Thread-safe.
 */
public final class RetryBudget {

	private final double perSuccess;

	private final double capacity;

	private double available;

	/**
	 * Creates a full budget.
	 * @param perSuccess the retries that each success adds, more than 0
	 * @param capacity the largest number of saved retries, at least 1; also the number of
	 * retries that are possible before the first success
	 */
	public RetryBudget(double perSuccess, double capacity) {
		if (!(perSuccess > 0) || !(capacity >= 1)) {
			throw new IllegalArgumentException("perSuccess " + perSuccess + ", capacity " + capacity);
		}
		this.perSuccess = perSuccess;
		this.capacity = capacity;
		this.available = capacity;
	}

	/**
	 * Notes an attempt that succeeded.
	 */
	public synchronized void succeeded() {
		this.available = Math.min(this.capacity, this.available + this.perSuccess);
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
