package org.mulberrycross.platform;

import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.PeerException;

/**
 * Conditional writes to the object API. If the response to a write is lost, the object is
 * read back to find out whether the write took effect. Thread-safe.
 */
final class ConditionalWrite {

	private ConditionalWrite() {
	}

	/**
	 * Creates or replaces an object.
	 * @param store the object API, not null
	 * @param key the key of the object
	 * @param value the value, which contains a unique token unless equal values are
	 * interchangeable
	 * @param expectedVersion the version to replace, empty to create the object
	 * @param ownValue recognises the written value when it is read back
	 * @return the new version; empty if the condition did not hold or the write had not
	 * taken effect when the object was read back
	 * @throws PeerException if a call to the store fails
	 */
	static OptionalLong write(ObjectStore store, String key, byte[] value, OptionalLong expectedVersion,
			ValueMatcher ownValue) throws PeerException {
		try {
			return expectedVersion.isPresent() ? store.replace(key, value, expectedVersion.getAsLong())
					: store.create(key, value);
		}
		catch (OutcomeUnknownException ex) {
			Optional<StoredObject> stored = store.read(key);
			if (stored.isPresent() && ownValue.matches(stored.get().value())) {
				return OptionalLong.of(stored.get().version());
			}
			return OptionalLong.empty();
		}
	}

	/**
	 * Recognises the value that the caller has written.
	 */
	@FunctionalInterface
	interface ValueMatcher {

		/**
		 * Returns whether a value is the one that was written.
		 * @param value the value that was read back
		 * @return true if it is the written value
		 * @throws PeerException if the value cannot be decoded
		 */
		boolean matches(byte[] value) throws PeerException;

	}

}
