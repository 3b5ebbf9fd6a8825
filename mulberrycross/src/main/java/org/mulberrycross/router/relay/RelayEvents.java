package org.mulberrycross.router.relay;

import org.mulberrycross.http.MessageHead;

/**
 * What happens to an attempt. Called on a selector thread.
 */
interface RelayEvents {

	/**
	 * The first part of an answer arrived.
	 * @param attempt the attempt
	 */
	void answering(RelayAttempt attempt);

	/**
	 * An upstream answered with a failure.
	 * @param attempt the attempt
	 * @param head the head of the answer
	 * @param answer what the head says
	 * @param body the whole body
	 */
	void failureAnswered(RelayAttempt attempt, MessageHead head, UpstreamAnswer answer, byte[] body);

	/**
	 * An attempt ended without a complete answer.
	 * @param attempt the attempt
	 * @param reason what happened
	 */
	void broken(RelayAttempt attempt, String reason);

	/**
	 * The whole answer went to the client.
	 * @param attempt the attempt
	 */
	void completed(RelayAttempt attempt);

}
