package org.mulberrycross.platform;

import java.util.Objects;

/**
 * An object as stored in the object API. Immutable and thread-safe; callers must not
 * modify the value.
 *
 * @param key the key, {@code kind/name}
 * @param version the version, which increases with every change of the object
 * @param value the value, JSON text in UTF-8 of at most 1 MB
 */
public record StoredObject(String key, long version, byte[] value) {

	/**
	 * Creates an object.
	 * @param key the key, not null
	 * @param version the version
	 * @param value the value, not null
	 */
	public StoredObject {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(value, "value");
	}

	/**
	 * Returns the kind of the object.
	 * @return the part of the key before the first slash
	 */
	public String kind() {
		return this.key.substring(0, this.key.indexOf('/'));
	}

	/**
	 * Returns the name of the object.
	 * @return the part of the key after the first slash
	 */
	public String name() {
		return this.key.substring(this.key.indexOf('/') + 1);
	}

}
