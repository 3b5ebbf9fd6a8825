package org.mulberrycross.service;

import java.util.Objects;

/**
 * Outcome of one attempt to run a call. Immutable and thread-safe; callers must not
 * change the body.
 *
 * @param kind whether the call ran, not null
 * @param status the HTTP status code of the service, 0 unless completed
 * @param contentType the media type of the body, empty if unknown
 * @param body the body of the service's response, empty for none
 * @param reason why the call did not complete, empty if it did
 */
public record CallOutcome(Kind kind, int status, String contentType, byte[] body, String reason) {

	private static final byte[] NO_BODY = {};

	/**
	 * Creates an outcome.
	 * @param kind whether the call ran, not null
	 * @param status the HTTP status code of the service, 0 unless completed
	 * @param contentType the media type of the body, not null
	 * @param body the body of the service's response, not null
	 * @param reason why the call did not complete, not null
	 */
	public CallOutcome {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(contentType, "contentType");
		Objects.requireNonNull(body, "body");
		Objects.requireNonNull(reason, "reason");
	}

	/**
	 * Returns the outcome of a call that did not run.
	 * @param reason why it did not run, not null
	 * @return an outcome of kind {@link Kind#NOT_RUN}
	 */
	public static CallOutcome notRun(String reason) {
		return new CallOutcome(Kind.NOT_RUN, 0, "", NO_BODY, reason);
	}

	/**
	 * Returns the outcome of a call that got a complete response.
	 * @param status the HTTP status code, which may be an error
	 * @param contentType the media type of the body, empty if unknown
	 * @param body the body, not null
	 * @return an outcome of kind {@link Kind#COMPLETED}
	 */
	public static CallOutcome completed(int status, String contentType, byte[] body) {
		return new CallOutcome(Kind.COMPLETED, status, contentType, body, "");
	}

	/**
	 * Returns the outcome of a call that may have run.
	 * @param reason why the outcome is unknown, not null
	 * @return an outcome of kind {@link Kind#UNKNOWN}
	 */
	public static CallOutcome unknown(String reason) {
		return new CallOutcome(Kind.UNKNOWN, 0, "", NO_BODY, reason);
	}

	/**
	 * Whether a call ran.
	 */
	public enum Kind {

		/** No byte was sent, or the service reported that it did not run the call. */
		NOT_RUN,

		/** The service sent a complete response, with any status. */
		COMPLETED,

		/** The call was sent and no complete response came back; it may have run. */
		UNKNOWN

	}

}
