package org.mulberrycross.http;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * The head of a response. Immutable and thread-safe.
 *
 * @param status the status code
 * @param headers the fields, not null
 * @param length the length of the body in bytes, or empty if the body has no stated
 * length, not null
 */
public record MessageHead(int status, Headers headers, OptionalLong length) {

	/**
	 * Creates a head.
	 * @param status the status code
	 * @param headers the fields, not null
	 * @param length the length of the body in bytes, or empty, not null
	 */
	public MessageHead {
		Objects.requireNonNull(headers, "headers");
		Objects.requireNonNull(length, "length");
	}

	/**
	 * Returns whether the status is a success.
	 * @return whether the status is from 200 to 299
	 */
	public boolean isSuccess() {
		return this.status / 100 == 2;
	}

}
