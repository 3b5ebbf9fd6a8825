package org.mulberrycross.engine;

import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.PeerException;

/**
 * Versioned store of lease records. Versions are positive and are never used again; reads
 * return the latest record; records are never deleted, since the fencing number would
 * start again. Implementations are thread-safe and block with a bound. All methods throw
 * {@link org.mulberrycross.NotRunException} if the call did not take effect and another
 * {@link PeerException} if a write may have taken effect.
 */
public interface LeaseStore {

	/**
	 * Reads a record.
	 * @param name the name of the lease, not null
	 * @return the record, or empty if there is none
	 * @throws PeerException if the store does not answer
	 */
	Optional<StoredLease> read(String name) throws PeerException;

	/**
	 * Writes a record if the stored one has the expected version.
	 * @param name the name of the lease, not null
	 * @param lease the record, not null
	 * @param version the expected version, 0 if there must be no record
	 * @return the new version, or empty if the stored record has another version
	 * @throws PeerException if the store does not answer
	 */
	OptionalLong write(String name, LeaseRecord lease, long version) throws PeerException;

}
