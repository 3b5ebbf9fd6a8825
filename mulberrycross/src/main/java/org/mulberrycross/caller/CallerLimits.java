package org.mulberrycross.caller;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the size and timing of clients' requests. Immutable and thread-safe.
 *
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param requestTimeout the maximum time from the first to the last byte of a request,
 * not null
 * @param idleTimeout the maximum time between two requests on a connection, not null
 */
public record CallerLimits(long maxBodyBytes, Duration requestTimeout, Duration idleTimeout) {

	/**
	 * Creates limits.
	 * @param maxBodyBytes the maximum size of a request body, in bytes
	 * @param requestTimeout the maximum time to receive a request, not null
	 * @param idleTimeout the maximum time between two requests on a connection, not null
	 */
	public CallerLimits {
		Objects.requireNonNull(requestTimeout, "requestTimeout");
		Objects.requireNonNull(idleTimeout, "idleTimeout");
	}

}
