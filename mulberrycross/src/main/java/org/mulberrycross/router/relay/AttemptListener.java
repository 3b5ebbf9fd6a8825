package org.mulberrycross.router.relay;

import org.mulberrycross.http.ResponseHead;

/**
 * Receives the events of attempts. Called on a selector thread.
 */
interface AttemptListener {

	/**
	 * Called when the upstream has accepted the connection, before the request is sent.
	 * @param attempt the attempt
	 */
	void onConnected(RelayAttempt attempt);

	/**
	 * Called when the head of a response announces that its upstream leaves or asks for
	 * no requests for a while.
	 * @param attempt the attempt
	 * @param upstreamHead the decoded head
	 * @param receivedNanos the monotonic time in nanoseconds at which the head was read
	 */
	void onNotice(RelayAttempt attempt, UpstreamResponseHead upstreamHead, long receivedNanos);

	/**
	 * Called when the first part of the response body arrived.
	 * @param attempt the attempt
	 */
	void onFirstData(RelayAttempt attempt);

	/**
	 * Called when an upstream sent a complete response with an error status.
	 * @param attempt the attempt
	 * @param head the response head
	 * @param upstreamHead the decoded head
	 * @param body the complete body
	 */
	void onErrorResponse(RelayAttempt attempt, ResponseHead head, UpstreamResponseHead upstreamHead, byte[] body);

	/**
	 * Called when an attempt ended without a complete response.
	 * @param attempt the attempt
	 * @param reason the reason, for the log and the client
	 */
	void onAttemptFailed(RelayAttempt attempt, String reason);

	/**
	 * Called when the complete response was forwarded to the client.
	 * @param attempt the attempt
	 */
	void onCompleted(RelayAttempt attempt);

}
