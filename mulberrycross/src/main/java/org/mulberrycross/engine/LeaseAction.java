package org.mulberrycross.engine;

/**
 * Store operation that the lease state machine requests. Immutable and thread-safe.
 */
public sealed interface LeaseAction {

	/**
	 * Reads the lease record.
	 */
	record Read() implements LeaseAction {

	}

	/**
	 * Writes the lease record if the stored one has the expected version.
	 *
	 * @param lease the record to store
	 * @param expectedVersion the expected version in the store, 0 if no record may exist
	 */
	record Write(OrderLeaseRecord lease, long expectedVersion) implements LeaseAction {

	}

}
