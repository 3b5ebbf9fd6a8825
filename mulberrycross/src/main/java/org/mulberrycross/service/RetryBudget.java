package org.mulberrycross.service;

/**
 * Bounds retries to a tenth of the calls, so that retries do not multiply the load on
 * services that fail. Thread-safe.
 */
public final class RetryBudget {

	/** Calls that pay for one retry. */
	private static final int CALLS_PER_RETRY = 10;

	/** Retries that can be saved up for a burst of failures. */
	private static final int MAX_SAVED_RETRIES = 20;

	private int credit = CALLS_PER_RETRY * MAX_SAVED_RETRIES;

	/**
	 * Notes a call.
	 */
	public synchronized void called() {
		this.credit = Math.min(this.credit + 1, CALLS_PER_RETRY * MAX_SAVED_RETRIES);
	}

	/**
	 * Takes one retry out of the budget.
	 * @return whether the retry is allowed
	 */
	public synchronized boolean tryRetry() {
		if (this.credit < CALLS_PER_RETRY) {
			return false;
		}
		this.credit -= CALLS_PER_RETRY;
		return true;
	}

}
