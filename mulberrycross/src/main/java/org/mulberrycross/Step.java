package org.mulberrycross;

import java.util.Locale;

/**
 * Steps of the work at which an error can arise.
 */
public enum Step {

	/** Reading the settings of a process. */
	READ_SETTINGS,

	/** Reading and checking a caller's request. */
	READ_REQUEST,

	/** Checking a caller's key and its team's rights. */
	AUTHENTICATE,

	/** Waiting for room in the queues and limits. */
	ADMIT,

	/** Choosing the engines of a route. */
	CHOOSE_ROUTE,

	/** Running the prompt through a stage. */
	PREFILL,

	/** Running one generated token through a stage. */
	DECODE,

	/** Replacing a stage of a running stream. */
	REPLACE_STAGE,

	/** Cancelling a stream on a stage. */
	CANCEL,

	/** Probing a peer on a new connection. */
	PROBE,

	/** Reading a load or cache report. */
	READ_REPORT,

	/** Sending an order to an engine. */
	ORDER,

	/** Recording a call before it is sent. */
	RECORD_INTENT,

	/** Calling a plain service. */
	CALL_SERVICE,

	/** Recording the outcome of a call. */
	RECORD_OUTCOME,

	/** Writing an answer to a caller. */
	WRITE_ANSWER,

	/** Reading an object. */
	READ_OBJECT,

	/** Writing an object. */
	WRITE_OBJECT,

	/** Watching objects for changes. */
	WATCH,

	/** Reading the instance list. */
	READ_INSTANCES,

	/** Publishing a configuration. */
	PUBLISH,

	/** Applying a published configuration. */
	APPLY,

	/** Acquiring or renewing a lease. */
	LEASE,

	/** Exchanging state with another daemon. */
	GOSSIP,

	/** Borrowing part of a team's limit from its owner. */
	BORROW_SHARE,

	/** Encoding or decoding a message. */
	CODEC;

	/**
	 * Returns the name of the step as it appears in messages and logs.
	 * @return the name in lower case with underscores
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
