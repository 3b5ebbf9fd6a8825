package org.mulberrycross.http;

/**
 * Writes the response to one request that is relayed. Thread-safe; calls after the end,
 * after an abort or after the client has left do nothing.
 */
public interface ResponseWriter {

	/**
	 * Sets the head, which is sent with the first part of the body or with the end.
	 * @param head the head, not null; its fields must not concern one connection only
	 */
	void start(MessageHead head);

	/**
	 * Sends a part of the body.
	 * @param part the bytes, not null
	 */
	void write(byte[] part);

	/** Ends the response as complete. */
	void end();

	/** Closes the connection, so that the response does not look complete. */
	void abort();

	/**
	 * Registers what to do when the client closes its connection before the response has
	 * ended.
	 * @param action the action, not null; runs at once if the client has left already
	 */
	void onClientGone(Runnable action);

}
