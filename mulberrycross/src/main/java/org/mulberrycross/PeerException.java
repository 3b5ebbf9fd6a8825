package org.mulberrycross;

import java.util.Objects;

/**
 * Thrown when the communication with a peer or the work for it fails. Carries the step
 * and the peer. Subclasses exist only for errors that callers handle differently.
 * Immutable except for the state of {@link Throwable}.
 */
public class PeerException extends Exception {

	private static final long serialVersionUID = 1L;

	private final Step step;

	private final transient Peer peer;

	/**
	 * Creates an exception without a cause.
	 * @param step the step that failed, not null
	 * @param peer the peer that was involved, not null
	 * @param message what went wrong, with the relevant values
	 */
	public PeerException(Step step, Peer peer, String message) {
		this(step, peer, message, null);
	}

	/**
	 * Creates an exception with a cause.
	 * @param step the step that failed, not null
	 * @param peer the peer that was involved, not null
	 * @param message what went wrong, with the relevant values
	 * @param cause the cause, may be null
	 */
	public PeerException(Step step, Peer peer, String message, Throwable cause) {
		super(message, cause);
		this.step = Objects.requireNonNull(step, "step");
		this.peer = Objects.requireNonNull(peer, "peer");
	}

	/**
	 * Returns the step that failed.
	 * @return the step, not null
	 */
	public Step step() {
		return this.step;
	}

	/**
	 * Returns the peer that was involved.
	 * @return the peer, not null; its name is empty if it is unknown
	 */
	public Peer peer() {
		return this.peer;
	}

	@Override
	public String toString() {
		return getClass().getSimpleName() + " at " + this.step.label() + " (" + this.peer + "): " + getMessage();
	}

}
