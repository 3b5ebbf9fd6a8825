package org.mulberrycross.http;

/**
 * How a response marks the end of its body.
 */
public enum BodyFraming {

	/** By the length in its head, or by a status that has no body. */
	LENGTH,

	/** By a last chunk. */
	CHUNKED,

	/** By an orderly close of the connection. */
	CLOSE

}
