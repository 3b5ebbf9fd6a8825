package org.mulberrycross.sibling;

import java.util.Objects;
import java.util.Optional;

/**
 * A change of an object in the store that a sibling passes on. Immutable if the value is
 * not modified, and thread-safe.
 *
 * @param key the key of the object, {@code kind/name}, not null
 * @param version the version after the change
 * @param value the content after the change, empty if the object was deleted, not null
 */
public record SharedChange(String key, long version, Optional<byte[]> value) {

	/**
	 * Creates a change. The value is not copied.
	 * @param key the key of the object, {@code kind/name}, not null
	 * @param version the version after the change
	 * @param value the content after the change, not null
	 */
	public SharedChange {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(value, "value");
	}

}
