package org.mulberrycross.service;

/**
 * Work on a record that is done in the background. Immutable and thread-safe.
 */
public sealed interface IntentTask {

	/**
	 * Returns the name of the record.
	 * @return the name
	 */
	String name();

	/**
	 * Stores an outcome whose first write was not confirmed.
	 *
	 * @param name the name of the record
	 * @param intent the settled record
	 * @param version the version of the claimed record
	 */
	record Settle(String name, IntentRecord intent, long version) implements IntentTask {

	}

	/**
	 * Deletes the record of an attempt that ended without sending. Nobody sends under its
	 * token any more.
	 *
	 * @param name the name of the record
	 * @param token the token of the attempt
	 */
	record Abandon(String name, String token) implements IntentTask {

	}

	/**
	 * Deletes a settled record at the end of its retention.
	 *
	 * @param name the name of the record
	 * @param version the version of the settled record
	 */
	record Expire(String name, long version) implements IntentTask {

	}

}
