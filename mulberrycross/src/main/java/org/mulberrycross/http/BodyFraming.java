package org.mulberrycross.http;

/**
 * How a message marks the end of its body. Immutable and thread-safe.
 */
enum BodyFraming {

	/** By the length in its head, or by a status or method without a body. */
	LENGTH,

	/** By the last chunk. */
	CHUNKED,

	/** By the close of the connection. */
	CLOSE

}
