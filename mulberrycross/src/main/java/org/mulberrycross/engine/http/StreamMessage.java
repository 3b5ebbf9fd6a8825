package org.mulberrycross.engine.http;

import java.util.Objects;

/**
 * Request to cancel a stream or to export its KV cache. Immutable and thread-safe.
 *
 * @param stream the identifier of the stream, not null
 * @param attempt the last attempt of the stream; 0 in an export call, which accepts a
 * cache of any attempt
 */
public record StreamMessage(String stream, int attempt) {

	/**
	 * Creates a message.
	 * @param stream the identifier of the stream, not null
	 * @param attempt the last attempt of the stream
	 */
	public StreamMessage {
		Objects.requireNonNull(stream, "stream");
	}

}
