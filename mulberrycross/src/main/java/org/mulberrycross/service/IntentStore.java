package org.mulberrycross.service;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.PeerException;

/**
 * Versioned store of intent records. Implementations are thread-safe and block for a
 * bounded time. All methods throw {@link org.mulberrycross.NotRunException} if the
 * operation did not take effect, and another {@link PeerException} if a write may have
 * taken effect.
 */
public interface IntentStore {

	/**
	 * Reads a record with its current version.
	 * @param name the name of the record, not null
	 * @return the record, or empty if there is none
	 * @throws PeerException if the store does not respond
	 */
	Optional<StoredIntent> read(String name) throws PeerException;

	/**
	 * Creates a record unless one of that name exists.
	 * @param name the name of the record, not null
	 * @param intent the record, not null
	 * @return the version, or empty if a record of that name exists already
	 * @throws PeerException if the store does not respond
	 */
	OptionalLong create(String name, IntentRecord intent) throws PeerException;

	/**
	 * Replaces a record if its version is the expected one.
	 * @param name the name of the record, not null
	 * @param intent the record, not null
	 * @param expectedVersion the version that the record must have
	 * @return the new version, or empty if the record has another version or does not
	 * exist
	 * @throws PeerException if the store does not respond
	 */
	OptionalLong replace(String name, IntentRecord intent, long expectedVersion) throws PeerException;

	/**
	 * Deletes a record if its version is the expected one.
	 * @param name the name of the record, not null
	 * @param expectedVersion the version that the record must have
	 * @return true if it was deleted, false if it has another version or does not exist
	 * @throws PeerException if the store does not respond
	 */
	boolean delete(String name, long expectedVersion) throws PeerException;

	/**
	 * Lists one page of records in the order of their names.
	 * @param afterName the name after which the page starts, empty for the first page
	 * @param maxRecords the maximum number of records to return, at least 1
	 * @return the records, empty after the last one
	 * @throws PeerException if the store does not respond
	 */
	List<StoredIntent> list(String afterName, int maxRecords) throws PeerException;

}
