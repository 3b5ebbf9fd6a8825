package org.mulberrycross.caller;

import java.time.Duration;

/**
 * A decision of {@link Admission} about one request. Immutable and thread-safe.
 */
public sealed interface AdmissionAction {

	/**
	 * Returns the request to start or to reject.
	 * @return the request, not null
	 */
	CallerRequest request();

	/**
	 * Starts a request, whose capacity is already reserved.
	 *
	 * @param request the request, not null
	 * @param workClass the class of the request, not null
	 * @param estimatedTokens the estimated output length in tokens; the caller reports a
	 * longer output to {@link Admission#reclassifyAsLong}
	 */
	record Grant(CallerRequest request, WorkClass workClass, int estimatedTokens) implements AdmissionAction {

	}

	/**
	 * Rejects a request that has not started.
	 *
	 * @param request the request, not null
	 * @param reason the reason, for the error message to the caller
	 * @param retryAfter the time after which a retry may succeed, from 1 to 30 seconds
	 */
	record Reject(CallerRequest request, String reason, Duration retryAfter) implements AdmissionAction {

	}

}
