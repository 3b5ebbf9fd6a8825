package org.mulberrycross.service;

/**
 * Action that {@link AtMostOnceProtocol} requests for a call that must not be repeated.
 * Immutable and thread-safe.
 */
public sealed interface CallAction {

	/**
	 * Creates the intent record, if none of that name exists.
	 *
	 * @param name the name of the record
	 * @param intent the claimed record
	 */
	record Create(String name, IntentRecord intent) implements CallAction {

	}

	/**
	 * Reads the intent record.
	 *
	 * @param name the name of the record
	 */
	record Read(String name) implements CallAction {

	}

	/**
	 * Sends the call to the service. Requested at most once in an attempt.
	 */
	record Send() implements CallAction {

	}

	/**
	 * Replaces the claimed record by one with the outcome.
	 *
	 * @param name the name of the record
	 * @param intent the settled record
	 * @param version the version of the claimed record
	 */
	record Settle(String name, IntentRecord intent, long version) implements CallAction {

	}

	/**
	 * Deletes the record of a call that did not run, so that its key can be used again.
	 *
	 * @param name the name of the record
	 * @param version the version of the claimed record
	 */
	record Release(String name, long version) implements CallAction {

	}

	/**
	 * Answers the caller; the first of the final actions of an attempt.
	 *
	 * @param answer the answer to send
	 */
	record Answer(CallAnswer answer) implements CallAction {

	}

	/**
	 * Queues work on the record for the background: a write that the store did not
	 * confirm, or the deletion at the end of the retention.
	 *
	 * @param task the task to queue
	 */
	record Defer(IntentTask task) implements CallAction {

	}

}
