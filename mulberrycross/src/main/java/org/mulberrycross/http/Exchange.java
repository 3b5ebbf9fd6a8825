package org.mulberrycross.http;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;

/**
 * Receives the response to one request. Called on one selector thread, except for
 * {@link #fail}, which any thread may call.
 */
interface Exchange {

	// Returns whether the response is complete or has failed.
	boolean isDone();

	// Handles the next part. The connection may be paused until the part is used.
	void handleContent(Connection<?> connection, HttpContent content);

	void fail(Throwable cause);

	void handleClose();

}
