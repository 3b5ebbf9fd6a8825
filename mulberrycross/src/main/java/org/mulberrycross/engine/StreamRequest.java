package org.mulberrycross.engine;

import java.util.Objects;
import java.util.function.IntSupplier;

/**
 * Request to generate tokens from a prompt as one stream. Immutable and thread-safe; the
 * tokens must not be changed.
 *
 * @param stream the identifier of the stream, unique across all daemons
 * @param promptTokens the token numbers of the prompt, not empty
 * @param maxTokens the number of tokens to generate, 1 or more
 * @param priority provides the priority of the next step, not null; steps with a higher
 * number run first; may change while the stream runs
 */
public record StreamRequest(String stream, long[] promptTokens, int maxTokens, IntSupplier priority) {

	/**
	 * Creates a request.
	 * @param stream the identifier of the stream, not null
	 * @param promptTokens the token numbers of the prompt, not empty
	 * @param maxTokens the number of tokens to generate, 1 or more
	 * @param priority provides the priority of the next step, not null
	 */
	public StreamRequest {
		Objects.requireNonNull(stream, "stream");
		Objects.requireNonNull(priority, "priority");
		if (promptTokens.length == 0 || maxTokens < 1) {
			throw new IllegalArgumentException("invalid request for stream " + stream + ": prompt of "
					+ promptTokens.length + " tokens, " + maxTokens + " tokens to generate");
		}
	}

}
