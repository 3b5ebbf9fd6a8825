package org.mulberrycross.engine.http;

import java.util.Objects;

/**
 * Body of a cancel and of an export call. Immutable and thread-safe.
 *
 * @param stream the identifier of the stream, not null
 * @param attempt the last attempt of the stream; 0 in an export call, which takes any
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
