package org.mulberrycross.http;

/**
 * Writes the response to one relayed request. Thread-safe. The methods that write have no
 * effect after {@link #end()} or {@link #abort()}, or once the client has disconnected.
 */
public interface ResponseWriter {

	/**
	 * Sets the response head, which is sent together with the first part of the body, or
	 * with the end if there is no body.
	 * @param head the head, not null; must not contain hop-by-hop headers
	 */
	void setHead(ResponseHead head);

	/**
	 * Sends a part of the body.
	 * @param part the bytes, not null
	 */
	void write(byte[] part);

	/** Completes the response. */
	void end();

	/** Closes the connection, so that the client sees a truncated response. */
	void abort();

	/**
	 * Registers an action to run if the connection is closed before the response has
	 * ended. Replaces an action registered before.
	 * @param action the action, not null; runs immediately, on the calling thread, if the
	 * client has already disconnected
	 */
	void onDisconnect(Runnable action);

}
