package org.mulberrycross.http;

import java.util.Objects;

/**
 * One field of a message head. Immutable and thread-safe.
 *
 * @param name the name, in the case in which it was received, not null
 * @param value the value, not null
 */
public record HeaderField(String name, String value) {

	/**
	 * Creates a field.
	 * @param name the name, not null
	 * @param value the value, not null
	 */
	public HeaderField {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(value, "value");
	}

}
