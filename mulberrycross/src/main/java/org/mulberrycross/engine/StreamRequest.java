package org.mulberrycross.engine;

import java.util.Objects;

/**
 * A stream to run over a route. Immutable and thread-safe; the tokens must not be
 * changed.
 *
 * @param stream the identifier of the stream, unique over all daemons
 * @param promptTokens the token numbers of the prompt, not empty
 * @param maxTokens the number of tokens to generate, 1 or more
 * @param priority the priority of the stream's steps; a higher number goes first
 */
public record StreamRequest(String stream, long[] promptTokens, int maxTokens, int priority) {

	/**
	 * Creates a stream.
	 * @param stream the identifier of the stream, not null
	 * @param promptTokens the token numbers of the prompt, not empty
	 * @param maxTokens the number of tokens to generate, 1 or more
	 * @param priority the priority of the stream's steps
	 */
	public StreamRequest {
		Objects.requireNonNull(stream, "stream");
		if (promptTokens.length == 0 || maxTokens < 1) {
			throw new IllegalArgumentException(
					"prompt of " + promptTokens.length + " tokens, " + maxTokens + " tokens to generate");
		}
	}

}
