package org.mulberrycross.service;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.PeerException;

/**
 * Versioned store of intent records. Implementations are thread-safe and block with a
 * bound. All methods throw {@link org.mulberrycross.NotRunException} if the call did not
 * take effect and another {@link PeerException} if a write may have taken effect.
 */
public interface IntentStore {

	/**
	 * Reads a record.
	 * @param name the name of the record, not null
	 * @return the record, or empty if there is none
	 * @throws PeerException if the store does not answer
	 */
	Optional<StoredIntent> read(String name) throws PeerException;

	/**
	 * Creates a record.
	 * @param name the name of the record, not null
	 * @param intent the record, not null
	 * @return the version, or empty if a record of that name exists
	 * @throws PeerException if the store does not answer
	 */
	OptionalLong create(String name, IntentRecord intent) throws PeerException;

	/**
	 * Replaces a record if its version is the expected one.
	 * @param name the name of the record, not null
	 * @param intent the record, not null
	 * @param version the expected version
	 * @return the new version, or empty if the record has another version or is gone
	 * @throws PeerException if the store does not answer
	 */
	OptionalLong replace(String name, IntentRecord intent, long version) throws PeerException;

	/**
	 * Deletes a record if its version is the expected one.
	 * @param name the name of the record, not null
	 * @param version the expected version
	 * @return true if it was deleted, false if it has another version or is gone
	 * @throws PeerException if the store does not answer
	 */
	boolean delete(String name, long version) throws PeerException;

	/**
	 * Lists records in the order of their names.
	 * @param after the name after which to start, empty for the first
	 * @param limit the largest number of records to return, at least 1
	 * @return the records
	 * @throws PeerException if the store does not answer
	 */
	List<StoredIntent> list(String after, int limit) throws PeerException;

}
