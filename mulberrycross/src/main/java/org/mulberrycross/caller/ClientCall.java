package org.mulberrycross.caller;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a client says of one request. Immutable and thread-safe.
 *
 * @param id the id of this attempt of the client, empty if it sent none, not null
 * @param host the host that the request names, not null
 * @param path the path without the query, not null
 * @param key the key of the client, or empty, not null
 * @param patience how long the client waits, or empty, not null
 * @param promptTokens the number of tokens in the prompt, 0 if unknown
 * @param maxOutputTokens the largest number of tokens to generate, 0 if unknown
 * @param lastEventId the id of the last event that the client has, if it resumes a
 * stream, not null
 */
public record ClientCall(String id, String host, String path, Optional<String> key, Optional<Duration> patience,
		int promptTokens, int maxOutputTokens, OptionalLong lastEventId) {

	/**
	 * Creates a call.
	 * @param id the id of this attempt of the client, not null
	 * @param host the host that the request names, not null
	 * @param path the path without the query, not null
	 * @param key the key of the client, or empty, not null
	 * @param patience how long the client waits, or empty, not null
	 * @param promptTokens the number of tokens in the prompt
	 * @param maxOutputTokens the largest number of tokens to generate
	 * @param lastEventId the id of the last event that the client has, or empty, not null
	 */
	public ClientCall {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(patience, "patience");
		Objects.requireNonNull(lastEventId, "lastEventId");
	}

}
