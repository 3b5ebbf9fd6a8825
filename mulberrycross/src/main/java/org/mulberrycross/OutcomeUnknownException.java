package org.mulberrycross;

/**
 * Thrown when a call was sent but no complete reply was received, so that it may or may
 * not have taken effect. Only an idempotent call may be retried.
 */
public class OutcomeUnknownException extends PeerException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception for a call with an unknown outcome.
	 * @param step the step that failed, not null
	 * @param peer the peer that was called, not null
	 * @param message what is known about the call
	 * @param cause the cause, may be null
	 */
	public OutcomeUnknownException(Step step, Peer peer, String message, Throwable cause) {
		super(step, peer, message, cause);
	}

}
