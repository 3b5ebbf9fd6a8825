package org.mulberrycross.http;

import java.util.Objects;

/**
 * One header field of an HTTP message. Immutable and thread-safe.
 *
 * @param name the name, in the case in which it was received or is to be sent, not null
 * @param value the value, not null
 */
public record HeaderField(String name, String value) {

	/**
	 * Creates a header field. Neither the name nor the value is checked for syntax.
	 * @param name the name, not null
	 * @param value the value, not null
	 */
	public HeaderField {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(value, "value");
	}

}
