package org.mulberrycross.standins.load;

/**
 * The result of a request. Immutable and thread-safe.
 *
 * @param request the request
 * @param outcome how it ended
 * @param tokens the number of tokens that were received
 * @param firstTokenNanos the time from the due time to the first token, 0 without tokens
 * @param longestGapNanos the longest time between consecutive tokens, 0 without any gap
 * @param totalNanos the time from the due time to the end of the request
 * @param detail the reason for a failure, empty for {@link Outcome#WHOLE}
 */
public record RequestResult(PlannedRequest request, Outcome outcome, int tokens, long firstTokenNanos,
		long longestGapNanos, long totalNanos, String detail) {

	/**
	 * Outcome of a request. The JSON report contains the names of the constants.
	 */
	public enum Outcome {

		/** The answer is complete and its text equals the expected text. */
		WHOLE,

		/** The router rejected the request and states that none of it was executed. */
		NOT_RUN,

		/** The request failed or its answer was truncated; the client can detect it. */
		FAILED,

		/** The answer ended as complete but its text differs from the expected text. */
		WRONG

	}

}
