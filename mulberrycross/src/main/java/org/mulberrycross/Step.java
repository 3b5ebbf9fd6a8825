package org.mulberrycross;

import java.util.Locale;

/**
 * Processing steps that a {@link PeerException} can name as the one that failed.
 */
public enum Step {

	/** Reading the settings of a process. */
	READ_SETTINGS,

	/** Reading and validating a caller's request. */
	READ_REQUEST,

	/** Checking a caller's API key and the permissions of its team. */
	AUTHENTICATE,

	/** Queueing a request until the limits allow it to run. */
	ADMIT,

	/** Choosing the engines of a route. */
	CHOOSE_ROUTE,

	/** Processing the prompt on a stage. */
	PREFILL,

	/** Processing one generated token on a stage. */
	DECODE,

	/** Replacing a stage of a running stream. */
	REPLACE_STAGE,

	/** Cancelling a stream on a stage. */
	CANCEL,

	/** Probing a peer on a new connection. */
	PROBE,

	/** Reading a load report or a cache report of an engine. */
	READ_REPORT,

	/** Sending an order with the desired setup to an engine. */
	ORDER,

	/** Storing the intent record of a call before it is sent. */
	RECORD_INTENT,

	/** Calling a plain service. */
	CALL_SERVICE,

	/** Storing the outcome of a call. */
	RECORD_OUTCOME,

	/** Writing a response to a caller. */
	WRITE_ANSWER,

	/** Reading an object from the object API. */
	READ_OBJECT,

	/** Writing an object to the object API. */
	WRITE_OBJECT,

	/** Watching objects in the object API for changes. */
	WATCH,

	/** Reading the instance list. */
	READ_INSTANCES,

	/** Publishing a configuration. */
	PUBLISH,

	/** Applying a published configuration. */
	APPLY,

	/** Acquiring or renewing a lease. */
	LEASE,

	/** Exchanging gossip digests with a sibling daemon. */
	GOSSIP,

	/** Asking a sibling daemon whether it reaches the upstreams. */
	ASK_REACH,

	/** Asking a sibling daemon for the newest configuration. */
	ASK_CONFIGURATION,

	/** Exchanging figures on work with a sibling daemon. */
	EXCHANGE_LOAD,

	/** Borrowing part of a team's limit from the daemon that owns it. */
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
