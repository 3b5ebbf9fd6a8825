package org.mulberrycross.engine;

import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.PeerException;

/**
 * Versioned store of lease records. Versions are positive and never reused within an era.
 * Reads return the latest record. Records are never deleted, because the fencing number
 * would then start over. Implementations are thread-safe and block for a bounded time.
 * All methods throw {@link org.mulberrycross.NotRunException} if the call had no effect,
 * and another {@link PeerException} if a write may have taken effect.
 */
public interface LeaseStore {

	/**
	 * Returns the latest era that a response has named. A new era means that the store
	 * came back from an older copy, in which records may be older or missing.
	 * @return the era, empty if the store names none
	 */
	default OptionalLong era() {
		return OptionalLong.empty();
	}

	/**
	 * Reads a record.
	 * @param name the name of the lease, not null
	 * @return the record, or empty if there is none
	 * @throws PeerException if the store does not respond
	 */
	Optional<StoredLease> read(String name) throws PeerException;

	/**
	 * Writes a record if the stored one has the expected version.
	 * @param name the name of the lease, not null
	 * @param lease the record, not null
	 * @param expectedVersion the expected version, 0 if no record may exist
	 * @return the new version, or empty if the stored record has another version
	 * @throws PeerException if the store does not respond or the outcome is unknown
	 */
	OptionalLong write(String name, OrderLeaseRecord lease, long expectedVersion) throws PeerException;

}
