package org.mulberrycross.service;

/**
 * What has to be done next for a call that must not be repeated. Immutable and
 * thread-safe.
 */
public sealed interface CallAction {

	/**
	 * Creates the record.
	 *
	 * @param name the name of the record
	 * @param intent the record
	 */
	record Create(String name, IntentRecord intent) implements CallAction {

	}

	/**
	 * Reads the record.
	 *
	 * @param name the name of the record
	 */
	record Read(String name) implements CallAction {

	}

	/**
	 * Sends the call to the service.
	 */
	record Send() implements CallAction {

	}

	/**
	 * Stores the outcome.
	 *
	 * @param name the name of the record
	 * @param intent the settled record
	 * @param version the version of the claimed record
	 */
	record Settle(String name, IntentRecord intent, long version) implements CallAction {

	}

	/**
	 * Deletes the record of a call that did not run.
	 *
	 * @param name the name of the record
	 * @param version the version of the claimed record
	 */
	record Release(String name, long version) implements CallAction {

	}

	/**
	 * Answers the caller.
	 *
	 * @param answer the answer
	 */
	record Answer(CallAnswer answer) implements CallAction {

	}

	/**
	 * Leaves work for the background, because the store did not confirm a write.
	 *
	 * @param task the work
	 */
	record Defer(IntentTask task) implements CallAction {

	}

}
