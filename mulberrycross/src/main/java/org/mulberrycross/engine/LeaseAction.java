package org.mulberrycross.engine;

/**
 * What has to be done next for a lease. Immutable and thread-safe.
 */
public sealed interface LeaseAction {

	/**
	 * Reads the record.
	 */
	record Read() implements LeaseAction {

	}

	/**
	 * Writes the record on a condition.
	 *
	 * @param lease the record to store
	 * @param version the version that the stored record must have, 0 if there must be
	 * none
	 */
	record Write(LeaseRecord lease, long version) implements LeaseAction {

	}

}
