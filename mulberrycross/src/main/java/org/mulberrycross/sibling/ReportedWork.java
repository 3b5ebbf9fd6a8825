package org.mulberrycross.sibling;

/**
 * Work at an engine in the whole numbers in which daemons report it, so that a daemon can
 * subtract its own share from sums exactly. Immutable and thread-safe.
 *
 * @param requests the number of requests
 * @param tokenUnits the tokens held when the requests end, in units of
 * {@link #TOKENS_PER_UNIT}
 * @param pendingUnits the prompt tokens that are not processed yet, in the same units
 */
public record ReportedWork(long requests, long tokenUnits, long pendingUnits) {

	/** Number of tokens in a unit. */
	public static final int TOKENS_PER_UNIT = 50;

	/** No work. */
	public static final ReportedWork NONE = new ReportedWork(0, 0, 0);

	/**
	 * Returns the sum of two amounts of work.
	 * @param other the work to add, not null
	 * @return the sum
	 */
	public ReportedWork plus(ReportedWork other) {
		return new ReportedWork(this.requests + other.requests, this.tokenUnits + other.tokenUnits,
				this.pendingUnits + other.pendingUnits);
	}

	/**
	 * Returns the difference of two amounts of work, with 0 for amounts below 0.
	 * @param other the work to subtract, not null
	 * @return the difference
	 */
	public ReportedWork minus(ReportedWork other) {
		return new ReportedWork(Math.max(0, this.requests - other.requests),
				Math.max(0, this.tokenUnits - other.tokenUnits), Math.max(0, this.pendingUnits - other.pendingUnits));
	}

}
