package org.mulberrycross.caller;

import java.util.Objects;

/**
 * A validated completion request. Immutable and thread-safe, provided that the array of
 * prompt tokens is not modified.
 *
 * @param id the identifier of the request, unique over all daemons
 * @param team the name of the team
 * @param pipeline the name of the pipeline
 * @param promptTokens the token identifiers of the prompt, not empty
 * @param maxTokens the maximum number of tokens to generate, at least 1
 * @param arrivalNanos the time of arrival on the daemon's monotonic clock, in nanoseconds
 * @param deadlineNanos the time by which the request must have started, on the same clock
 */
public record CallerRequest(String id, String team, String pipeline, long[] promptTokens, int maxTokens,
		long arrivalNanos, long deadlineNanos) {

	/**
	 * Creates a request.
	 * @param id the identifier of the request, not null
	 * @param team the name of the team, not null
	 * @param pipeline the name of the pipeline, not null
	 * @param promptTokens the token identifiers of the prompt, not empty
	 * @param maxTokens the maximum number of tokens to generate, at least 1
	 * @param arrivalNanos the time of arrival
	 * @param deadlineNanos the time by which the request must have started
	 */
	public CallerRequest {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(pipeline, "pipeline");
		if (promptTokens.length == 0 || maxTokens < 1) {
			throw new IllegalArgumentException("the prompt has " + promptTokens.length + " tokens and maxTokens is "
					+ maxTokens + ", but both must be at least 1");
		}
	}

}
