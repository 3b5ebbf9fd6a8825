package org.mulberrycross.caller;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds on what clients may send. Immutable and thread-safe.
 *
 * @param maxBodyBytes the longest request body, in bytes
 * @param headTimeout the longest time from the first byte of a request to its end, not
 * null
 * @param idleTimeout the longest time between two requests of a connection, not null
 */
public record CallerLimits(long maxBodyBytes, Duration headTimeout, Duration idleTimeout) {

	/**
	 * Creates limits.
	 * @param maxBodyBytes the longest request body, in bytes
	 * @param headTimeout the longest time for a request to arrive, not null
	 * @param idleTimeout the longest time between two requests, not null
	 */
	public CallerLimits {
		Objects.requireNonNull(headTimeout, "headTimeout");
		Objects.requireNonNull(idleTimeout, "idleTimeout");
	}

}
