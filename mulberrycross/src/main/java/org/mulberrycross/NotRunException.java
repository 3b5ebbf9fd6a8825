package org.mulberrycross;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Thrown when a request failed before any of it was executed: no byte of the call was
 * sent, or the upstream refused it before execution. The request may be retried.
 */
public class NotRunException extends PeerException {

	private static final long serialVersionUID = 1L;

	private final Duration retryAfter;

	/**
	 * Creates an exception without a cause or a retry delay.
	 * @param step the step that failed, not null
	 * @param peer the peer that was involved, not null
	 * @param message why the request was not executed
	 */
	public NotRunException(Step step, Peer peer, String message) {
		this(step, peer, message, (Throwable) null);
	}

	/**
	 * Creates an exception with a cause and without a retry delay.
	 * @param step the step that failed, not null
	 * @param peer the peer that was involved, not null
	 * @param message why the request was not executed
	 * @param cause the cause, may be null
	 */
	public NotRunException(Step step, Peer peer, String message, Throwable cause) {
		super(step, peer, message, cause);
		this.retryAfter = null;
	}

	/**
	 * Creates an exception with a suggested retry delay.
	 * @param step the step that failed, not null
	 * @param peer the peer that was involved, not null
	 * @param message why the request was not executed
	 * @param retryAfter the suggested delay before a retry, not null
	 */
	public NotRunException(Step step, Peer peer, String message, Duration retryAfter) {
		super(step, peer, message, null);
		this.retryAfter = Objects.requireNonNull(retryAfter, "retryAfter");
	}

	/**
	 * Returns the suggested delay before a retry.
	 * @return the delay, or empty if none is suggested
	 */
	public Optional<Duration> retryAfter() {
		return Optional.ofNullable(this.retryAfter);
	}

}
