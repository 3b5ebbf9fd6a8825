package org.mulberrycross.standins.load;

/**
 * What became of a request. Immutable and thread-safe.
 *
 * @param request the request
 * @param outcome how it ended
 * @param tokens the number of tokens received
 * @param firstTokenNanos the time from when the request was due to its first token, 0 if
 * none came
 * @param longestGapNanos the longest time between two tokens
 * @param totalNanos the time from when the request was due to its end
 * @param detail what went wrong, empty for a whole answer
 */
public record RequestResult(PlannedRequest request, Outcome outcome, int tokens, long firstTokenNanos,
		long longestGapNanos, long totalNanos, String detail) {

	/**
	 * Ways in which a request ends.
	 */
	public enum Outcome {

		/** The whole answer came and its text is the expected one. */
		WHOLE,

		/** The router refused it and says that nothing ran. */
		NOT_RUN,

		/** The answer failed or ended early, and the caller can tell. */
		FAILED,

		/** The answer claims to be whole but its text is not the expected one. */
		WRONG

	}

}
