package org.mulberrycross.caller;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Routing, authentication and deadline data from the header of a client's request.
 * Immutable and thread-safe.
 *
 * @param id the identifier of this attempt, an empty string if absent, not null
 * @param host the requested host, not null
 * @param path the path without the query, not null
 * @param key the API key, empty if the client sent none, not null
 * @param timeout the client's timeout, empty if it sent none, not null
 * @param promptTokens the number of tokens in the prompt, 0 if unknown
 * @param maxOutputTokens the maximum number of tokens to generate, 0 if unknown
 * @param lastEventId the identifier of the last event that the client received, empty
 * unless it resumes a stream, not null
 * @param sharedPromptParts the ids of the parts of the prompt that other requests may
 * share, in order and without duplicates, not null
 * @param outputHintTokens the client's estimate of the output tokens, 0 if unknown
 */
public record ClientCall(String id, String host, String path, Optional<String> key, Optional<Duration> timeout,
		int promptTokens, int maxOutputTokens, OptionalLong lastEventId, List<String> sharedPromptParts,
		int outputHintTokens) {

	/**
	 * Creates a call.
	 * @param id the identifier of this attempt, not null
	 * @param host the requested host, not null
	 * @param path the path without the query, not null
	 * @param key the API key, or empty, not null
	 * @param timeout the client's timeout, or empty, not null
	 * @param promptTokens the number of tokens in the prompt
	 * @param maxOutputTokens the maximum number of tokens to generate
	 * @param lastEventId the identifier of the last received event, or empty, not null
	 * @param sharedPromptParts the ids of the parts of the prompt that other requests may
	 * share, not null
	 * @param outputHintTokens the client's estimate of the output tokens, 0 if unknown
	 */
	public ClientCall {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(timeout, "timeout");
		Objects.requireNonNull(lastEventId, "lastEventId");
		sharedPromptParts = sharedPromptParts.stream().distinct().toList();
	}

	/**
	 * Creates a call without an estimate of its output.
	 * @param id the identifier of this attempt, not null
	 * @param host the requested host, not null
	 * @param path the path without the query, not null
	 * @param key the API key, or empty, not null
	 * @param timeout the client's timeout, or empty, not null
	 * @param promptTokens the number of tokens in the prompt
	 * @param maxOutputTokens the maximum number of tokens to generate
	 * @param lastEventId the identifier of the last received event, or empty, not null
	 * @param sharedPromptParts the ids of the parts of the prompt that other requests may
	 * share, not null
	 */
	public ClientCall(String id, String host, String path, Optional<String> key, Optional<Duration> timeout,
			int promptTokens, int maxOutputTokens, OptionalLong lastEventId, List<String> sharedPromptParts) {
		this(id, host, path, key, timeout, promptTokens, maxOutputTokens, lastEventId, sharedPromptParts, 0);
	}

}
