package org.mulberrycross.http;

/**
 * How a message marks the end of its body.
 */
public enum BodyFraming {

	/** By a content length. */
	LENGTH,

	/** By a last chunk. */
	CHUNKED,

	/** By an orderly close of the connection. Responses only. */
	CLOSE

}
