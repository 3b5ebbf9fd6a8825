package org.mulberrycross.caller;

import java.time.Duration;

/**
 * What admission decided about a request. Immutable and thread-safe.
 */
public sealed interface AdmissionAction {

	/**
	 * Returns the request that the action is about.
	 * @return the request, not null
	 */
	CallerRequest request();

	/**
	 * Lets a request run now.
	 *
	 * @param request the request, not null
	 * @param workClass the class of the work, not null
	 * @param estimatedTokens the estimated output length; work that exceeds it is
	 * reported to {@link Admission#exceeded}
	 */
	record Grant(CallerRequest request, WorkClass workClass, int estimatedTokens) implements AdmissionAction {

	}

	/**
	 * Refuses a request that has not run.
	 *
	 * @param request the request, not null
	 * @param reason why it is refused
	 * @param retryAfter the time after which a new try may succeed
	 */
	record Refuse(CallerRequest request, String reason, Duration retryAfter) implements AdmissionAction {

	}

}
