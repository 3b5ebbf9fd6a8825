package org.mulberrycross.caller;

/**
 * What a route's requests allow.
 */
public enum RouteKind {

	/** The request is idempotent and may be repeated. */
	IDEMPOTENT,

	/** The request may run once at most. */
	AT_MOST_ONCE,

	/** The response is a series of events. */
	STREAM

}
