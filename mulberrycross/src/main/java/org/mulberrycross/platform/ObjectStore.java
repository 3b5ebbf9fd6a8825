package org.mulberrycross.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.mulberrycross.PeerException;

/**
 * The platform's object API. Implementations are thread-safe and block with a bound. All
 * methods throw {@link org.mulberrycross.NotRunException} if the call did not take effect
 * and {@link org.mulberrycross.OutcomeUnknownException} if a write may have taken effect
 * without its answer.
 */
public interface ObjectStore {

	/**
	 * Reads an object.
	 * @param key the key, {@code kind/name}
	 * @return the object, or empty if there is none
	 * @throws PeerException if the store does not answer
	 */
	Optional<StoredObject> read(String key) throws PeerException;

	/**
	 * Lists objects in the order of their keys.
	 * @param kinds the kinds to list, not empty
	 * @param after the key after which to start, empty for the first page
	 * @param limit the largest number of objects to return, at least 1
	 * @return the page
	 * @throws PeerException if the store does not answer
	 */
	ObjectPage list(Set<String> kinds, String after, int limit) throws PeerException;

	/**
	 * Creates an object.
	 * @param key the key, {@code kind/name}
	 * @param value the value, JSON text in UTF-8 of at most 1 MB
	 * @return the version, or empty if the object exists
	 * @throws PeerException if the store does not answer
	 */
	OptionalLong create(String key, byte[] value) throws PeerException;

	/**
	 * Replaces an object if its version is the expected one.
	 * @param key the key, {@code kind/name}
	 * @param value the value, JSON text in UTF-8 of at most 1 MB
	 * @param expectedVersion the version that the object must have
	 * @return the new version, or empty if the object has another version or is gone
	 * @throws PeerException if the store does not answer
	 */
	OptionalLong replace(String key, byte[] value, long expectedVersion) throws PeerException;

	/**
	 * Deletes an object if its version is the expected one.
	 * @param key the key, {@code kind/name}
	 * @param expectedVersion the version that the object must have
	 * @return true if it was deleted, false if it has another version or is gone
	 * @throws PeerException if the store does not answer
	 */
	boolean delete(String key, long expectedVersion) throws PeerException;

	/**
	 * Waits for changes.
	 * @param kinds the kinds to watch, not empty
	 * @param afterRevision the revision after which changes count
	 * @param timeout the longest wait, positive
	 * @return the changes, none if the timeout passed
	 * @throws PeerException if the store does not answer
	 */
	WatchResult watch(Set<String> kinds, long afterRevision, Duration timeout) throws PeerException;

}
