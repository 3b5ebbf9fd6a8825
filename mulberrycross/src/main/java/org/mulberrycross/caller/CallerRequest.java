package org.mulberrycross.caller;

import java.util.Objects;

/**
 * A checked completion request of a caller. Immutable and thread-safe; the tokens must
 * not be changed.
 *
 * @param id the identifier of the request, unique over all daemons
 * @param team the name of the team
 * @param pipeline the name of the pipeline
 * @param promptTokens the token numbers of the prompt, not empty
 * @param maxTokens the number of tokens to generate, 1 or more
 * @param arrivalNanos the time of arrival on the daemon's monotonic clock
 * @param deadlineNanos the time by which the request must have started, on the same clock
 */
public record CallerRequest(String id, String team, String pipeline, long[] promptTokens, int maxTokens,
		long arrivalNanos, long deadlineNanos) {

	/**
	 * Creates a request.
	 * @param id the identifier of the request, not null
	 * @param team the name of the team, not null
	 * @param pipeline the name of the pipeline, not null
	 * @param promptTokens the token numbers of the prompt, not empty
	 * @param maxTokens the number of tokens to generate, 1 or more
	 * @param arrivalNanos the time of arrival
	 * @param deadlineNanos the time by which the request must have started
	 */
	public CallerRequest {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(pipeline, "pipeline");
		if (promptTokens.length == 0 || maxTokens < 1) {
			throw new IllegalArgumentException(
					"prompt of " + promptTokens.length + " tokens, " + maxTokens + " tokens to generate");
		}
	}

}
