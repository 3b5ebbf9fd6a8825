package org.mulberrycross.platform;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.mulberrycross.PeerException;
import org.mulberrycross.StorePosition;

/**
 * The platform's object API. Implementations are thread-safe and block for a bounded
 * time. All methods throw {@link org.mulberrycross.NotRunException} if the call did not
 * take effect and {@link org.mulberrycross.OutcomeUnknownException} if a write may have
 * taken effect although no response was received.
 */
public interface ObjectStore {

	/**
	 * Returns the latest era that a response has named. The era of the response to a call
	 * is known when the call returns.
	 * @return the era, empty if the store names none
	 */
	default OptionalLong era() {
		return OptionalLong.empty();
	}

	/**
	 * Reads an object.
	 * @param key the key, {@code kind/name}
	 * @return the object, or empty if there is none
	 * @throws PeerException if the call fails
	 */
	Optional<StoredObject> read(String key) throws PeerException;

	/**
	 * Lists objects, ordered by key.
	 * @param kinds the kinds to list, not empty
	 * @param after the key after which the page starts, empty for the first page
	 * @param limit the maximum number of objects to return, at least 1
	 * @return the page
	 * @throws PeerException if the call fails
	 */
	ObjectPage list(Set<String> kinds, String after, int limit) throws PeerException;

	/**
	 * Lists objects like {@link #list}, as they were at the call or some seconds before.
	 * Stores that charge less for this override it.
	 * @param kinds the kinds to list, not empty
	 * @param after the key after which the page starts, empty for the first page
	 * @param limit the maximum number of objects to return, at least 1
	 * @return the page, whose revision must not be used for a watch
	 * @throws PeerException if the call fails
	 */
	default ObjectPage listStale(Set<String> kinds, String after, int limit) throws PeerException {
		return list(kinds, after, limit);
	}

	/**
	 * Creates an object if none has its key.
	 * @param key the key, {@code kind/name}
	 * @param value the value, JSON text in UTF-8 of at most 1 MB
	 * @return the version, or empty if the object already exists
	 * @throws PeerException if the call fails
	 */
	OptionalLong create(String key, byte[] value) throws PeerException;

	/**
	 * Replaces an object if its version is the expected one.
	 * @param key the key, {@code kind/name}
	 * @param value the value, JSON text in UTF-8 of at most 1 MB
	 * @param expectedVersion the version that the object must have
	 * @return the new version, or empty if the object has another version or is absent
	 * @throws PeerException if the call fails
	 */
	OptionalLong replace(String key, byte[] value, long expectedVersion) throws PeerException;

	/**
	 * Deletes an object if its version is the expected one.
	 * @param key the key, {@code kind/name}
	 * @param expectedVersion the version that the object must have
	 * @return true if it was deleted, false if it has another version or is absent
	 * @throws PeerException if the call fails
	 */
	boolean delete(String key, long expectedVersion) throws PeerException;

	/**
	 * Waits for changes of objects.
	 * @param kinds the kinds to watch, not empty
	 * @param after the position after which changes are returned, not null; if the store
	 * is in another era by then, the position of the result tells, and the changes are
	 * those after the same revision of that era
	 * @param timeout the maximum wait, positive
	 * @return the changes, none if the timeout expired
	 * @throws PeerException if the call fails
	 */
	WatchResult watch(Set<String> kinds, StorePosition after, Duration timeout) throws PeerException;

}
