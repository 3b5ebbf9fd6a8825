package org.mulberrycross.http;

/**
 * Receives the response to a request that was sent by a {@link RelayClient}. Called on a
 * selector thread, one call at a time; must not block. Nothing is called after
 * {@link #end()} or {@link #failed}.
 */
public interface ResponseListener {

	/**
	 * The connection is open and the request is being written: it may run from now on.
	 */
	void sent();

	/**
	 * The head of the response arrived.
	 * @param head the head, not null
	 */
	void head(MessageHead head);

	/**
	 * A part of the body arrived.
	 * @param part the bytes, not null
	 */
	void data(byte[] part);

	/** The response is complete. */
	void end();

	/**
	 * The response cannot be completed.
	 * @param reason what happened, for logs, not null
	 */
	void failed(String reason);

}
