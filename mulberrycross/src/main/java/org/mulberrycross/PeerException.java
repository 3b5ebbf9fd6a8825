package org.mulberrycross;

import java.util.Objects;

/**
 * Checked error that carries the step and the peer at which it arose. Subclasses exist
 * only where a caller acts differently. Immutable apart from what {@link Throwable}
 * holds.
 */
public class PeerException extends Exception {

	private static final long serialVersionUID = 1L;

	private final Step step;

	private final transient Peer peer;

	/**
	 * Creates an error without a cause.
	 * @param step the step at which the error arose, not null
	 * @param peer the peer at which the error arose, not null
	 * @param message what went wrong, with the values that matter
	 */
	public PeerException(Step step, Peer peer, String message) {
		this(step, peer, message, null);
	}

	/**
	 * Creates an error with a cause.
	 * @param step the step at which the error arose, not null
	 * @param peer the peer at which the error arose, not null
	 * @param message what went wrong, with the values that matter
	 * @param cause the cause, may be null
	 */
	public PeerException(Step step, Peer peer, String message, Throwable cause) {
		super(message, cause);
		this.step = Objects.requireNonNull(step, "step");
		this.peer = Objects.requireNonNull(peer, "peer");
	}

	/**
	 * Returns the step at which the error arose.
	 * @return the step, not null
	 */
	public Step step() {
		return this.step;
	}

	/**
	 * Returns the peer at which the error arose.
	 * @return the peer, not null
	 */
	public Peer peer() {
		return this.peer;
	}

	@Override
	public String toString() {
		return getClass().getSimpleName() + " at " + this.step.label() + " (" + this.peer + "): " + getMessage();
	}

}
