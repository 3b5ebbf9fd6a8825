package org.mulberrycross.platform;

import java.util.Objects;
import java.util.Optional;

/**
 * Creation, replacement or deletion of an object. Immutable and thread-safe.
 *
 * @param key the key, {@code kind/name}
 * @param version the version after the change
 * @param object the object after the change, empty if it was deleted
 */
public record ObjectChange(String key, long version, Optional<StoredObject> object) {

	/**
	 * Creates a change.
	 * @param key the key, not null
	 * @param version the version after the change
	 * @param object the object after the change, not null
	 */
	public ObjectChange {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(object, "object");
	}

}
