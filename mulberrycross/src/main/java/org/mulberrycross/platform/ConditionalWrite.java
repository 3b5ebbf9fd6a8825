package org.mulberrycross.platform;

import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.PeerException;

/**
 * Conditional writes whose lost answers are settled by reading the object back.
 * Thread-safe.
 */
final class ConditionalWrite {

	private ConditionalWrite() {
	}

	/**
	 * Creates or replaces an object.
	 * @param store the object API, not null
	 * @param key the key of the object
	 * @param value the value, with a unique token
	 * @param expected the version to replace, empty to create
	 * @param own says whether a value that was read back is the written one
	 * @return the new version; empty if the condition did not hold or the write has not
	 * taken effect by the time it is read back
	 * @throws PeerException if the store does not answer
	 */
	static OptionalLong write(ObjectStore store, String key, byte[] value, OptionalLong expected, Recognition own)
			throws PeerException {
		try {
			return expected.isPresent() ? store.replace(key, value, expected.getAsLong()) : store.create(key, value);
		}
		catch (OutcomeUnknownException ex) {
			Optional<StoredObject> stored = store.read(key);
			if (stored.isPresent() && own.isOwn(stored.get().value())) {
				return OptionalLong.of(stored.get().version());
			}
			return OptionalLong.empty();
		}
	}

	/**
	 * Recognises a value by the token in it.
	 */
	@FunctionalInterface
	interface Recognition {

		/**
		 * Returns whether a value is the one that was written.
		 * @param value the value that was read back
		 * @return true if it is
		 * @throws PeerException if the value cannot be decoded
		 */
		boolean isOwn(byte[] value) throws PeerException;

	}

}
