package org.mulberrycross.operator;

import java.util.Objects;

/**
 * A validation error in a field of an operator's object. Immutable and thread-safe.
 *
 * @param key the key of the object, {@code kind/name}
 * @param field the invalid field, as named in the JSON form
 * @param reason why the field is invalid and what is allowed
 */
public record ValidationError(String key, String field, String reason) {

	/**
	 * Creates a validation error.
	 * @param key the key of the object, not null
	 * @param field the invalid field, not null
	 * @param reason why the field is invalid and what is allowed, not null
	 */
	public ValidationError {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(field, "field");
		Objects.requireNonNull(reason, "reason");
	}

	@Override
	public String toString() {
		return this.key + ": " + this.field + ": " + this.reason;
	}

}
