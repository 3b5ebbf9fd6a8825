package org.mulberrycross.caller;

/**
 * Retry semantics of a route's requests.
 */
public enum RouteKind {

	/** The request is idempotent and may be retried after it was executed. */
	IDEMPOTENT,

	/** The request must not be executed more than once. */
	AT_MOST_ONCE,

	/** The response is an event stream, which can only be retried if it is resumable. */
	STREAM

}
