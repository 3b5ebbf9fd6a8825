package org.mulberrycross;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Says that nothing of the failed work ran: no byte of the call left this process, or the
 * upstream itself refused it before running. The work may be sent again.
 */
public class NotRunException extends PeerException {

	private static final long serialVersionUID = 1L;

	private final Duration retryAfter;

	/**
	 * Creates an error without advice on when to try again.
	 * @param step the step at which the error arose, not null
	 * @param peer the peer at which the error arose, not null
	 * @param message why the work did not run
	 */
	public NotRunException(Step step, Peer peer, String message) {
		this(step, peer, message, (Throwable) null);
	}

	/**
	 * Creates an error with a cause and without advice on when to try again.
	 * @param step the step at which the error arose, not null
	 * @param peer the peer at which the error arose, not null
	 * @param message why the work did not run
	 * @param cause the cause, may be null
	 */
	public NotRunException(Step step, Peer peer, String message, Throwable cause) {
		super(step, peer, message, cause);
		this.retryAfter = null;
	}

	/**
	 * Creates an error with advice on when to try again.
	 * @param step the step at which the error arose, not null
	 * @param peer the peer at which the error arose, not null
	 * @param message why the work did not run
	 * @param retryAfter the time to wait before the next try, not null
	 */
	public NotRunException(Step step, Peer peer, String message, Duration retryAfter) {
		super(step, peer, message, null);
		this.retryAfter = Objects.requireNonNull(retryAfter, "retryAfter");
	}

	/**
	 * Returns the time to wait before the next try.
	 * @return the time, or empty if there is no advice
	 */
	public Optional<Duration> retryAfter() {
		return Optional.ofNullable(this.retryAfter);
	}

}
