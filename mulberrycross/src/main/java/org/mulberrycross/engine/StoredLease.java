package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Lease record with its version in the store. Immutable and thread-safe.
 *
 * @param version the version in the store, 0 if there is no record
 * @param lease the record, not null
 */
public record StoredLease(long version, OrderLeaseRecord lease) {

	/** Represents a record that does not exist. */
	public static final StoredLease NONE = new StoredLease(0, new OrderLeaseRecord("", 0, "", 0));

	/**
	 * Creates a stored lease.
	 * @param version the version in the store, 0 if there is no record
	 * @param lease the record, not null
	 */
	public StoredLease {
		Objects.requireNonNull(lease, "lease");
	}

	/**
	 * Returns whether the store contains the record.
	 * @return true unless this is {@link #NONE}
	 */
	public boolean exists() {
		return this.version > 0;
	}

}
