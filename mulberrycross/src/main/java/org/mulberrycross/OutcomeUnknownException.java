package org.mulberrycross;

/**
 * Says that a call left this process and that no complete reply came back, so that it may
 * or may not have taken effect. Only an idempotent call may be sent again.
 */
public class OutcomeUnknownException extends PeerException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an error.
	 * @param step the step at which the error arose, not null
	 * @param peer the peer at which the error arose, not null
	 * @param message what is known about the call
	 * @param cause the cause, may be null
	 */
	public OutcomeUnknownException(Step step, Peer peer, String message, Throwable cause) {
		super(step, peer, message, cause);
	}

}
