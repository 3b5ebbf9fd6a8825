package org.mulberrycross.operator;

import java.util.Objects;

/**
 * A fault of an operator's object. Immutable and thread-safe.
 *
 * @param key the key of the object, {@code kind/name}
 * @param field the field that is wrong, in the spelling of the JSON form
 * @param reason what is wrong and what is allowed
 */
public record Fault(String key, String field, String reason) {

	/**
	 * Creates a fault.
	 * @param key the key of the object, not null
	 * @param field the field that is wrong, not null
	 * @param reason what is wrong and what is allowed, not null
	 */
	public Fault {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(field, "field");
		Objects.requireNonNull(reason, "reason");
	}

	@Override
	public String toString() {
		return this.key + ": " + this.field + ": " + this.reason;
	}

}
