package org.mulberrycross.service;

/**
 * Background task on one intent record. Immutable and thread-safe.
 */
public sealed interface IntentTask {

	/**
	 * Returns the name of the record in the store.
	 * @return the name
	 */
	String name();

	/**
	 * Repeats the write of an outcome after the first write was not confirmed.
	 *
	 * @param name the name of the record
	 * @param intent the settled record
	 * @param version the version of the claimed record
	 */
	record Settle(String name, IntentRecord intent, long version) implements IntentTask {

	}

	/**
	 * Deletes the record of an attempt that did not run, if it holds the attempt's token.
	 * That is safe because no call is sent under this token any more.
	 *
	 * @param name the name of the record
	 * @param token the token of the attempt
	 */
	record Abandon(String name, String token) implements IntentTask {

	}

	/**
	 * Deletes a settled record at the end of its retention, unless it has changed.
	 *
	 * @param name the name of the record
	 * @param version the version of the settled record
	 */
	record Expire(String name, long version) implements IntentTask {

	}

}
