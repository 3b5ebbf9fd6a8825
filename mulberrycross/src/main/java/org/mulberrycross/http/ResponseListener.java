package org.mulberrycross.http;

/**
 * Receives the response to a request sent by a {@link RelayClient}. Methods are called on
 * a selector thread, one at a time, and must not block. The last call is
 * {@link #onComplete()} or {@link #onFailure}, unless the request is cancelled before.
 */
public interface ResponseListener {

	/**
	 * Called when the connection is open, before the request is written. From here on the
	 * upstream may execute the request, even if no response arrives.
	 */
	void onRequestStarted();

	/**
	 * Called when the response head has been received.
	 * @param head the response head, not null
	 */
	void onHead(ResponseHead head);

	/**
	 * Called for each part of the body as it is received.
	 * @param part the bytes, not empty
	 */
	void onData(byte[] part);

	/** Called when the response is complete. */
	void onComplete();

	/**
	 * Called when the request could not be sent or the response is not complete.
	 * @param reason the cause, for log messages, not null
	 */
	void onFailure(String reason);

}
