package org.mulberrycross.service;

import java.util.Objects;

/**
 * What is known about one attempt to run a call. Immutable and thread-safe; the body must
 * not be changed.
 *
 * @param kind what happened, not null
 * @param status the status code of the service, 0 unless completed
 * @param contentType the media type of the body, empty if unknown
 * @param body the body of the service's reply, empty for none
 * @param reason why the call did not complete, empty if it did
 */
public record CallOutcome(Kind kind, int status, String contentType, byte[] body, String reason) {

	private static final byte[] NO_BODY = {};

	/**
	 * Creates an outcome.
	 * @param kind what happened, not null
	 * @param status the status code of the service, 0 unless completed
	 * @param contentType the media type of the body, not null
	 * @param body the body of the service's reply, not null
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
	 * @return the outcome
	 */
	public static CallOutcome notRun(String reason) {
		return new CallOutcome(Kind.NOT_RUN, 0, "", NO_BODY, reason);
	}

	/**
	 * Returns the outcome of a call that the service answered.
	 * @param status the status code
	 * @param contentType the media type of the body, empty if unknown
	 * @param body the body, not null
	 * @return the outcome
	 */
	public static CallOutcome completed(int status, String contentType, byte[] body) {
		return new CallOutcome(Kind.COMPLETED, status, contentType, body, "");
	}

	/**
	 * Returns the outcome of a call that may have run.
	 * @param reason what is known, not null
	 * @return the outcome
	 */
	public static CallOutcome unknown(String reason) {
		return new CallOutcome(Kind.UNKNOWN, 0, "", NO_BODY, reason);
	}

	/**
	 * What happened to a call.
	 */
	public enum Kind {

		/** No byte left, or the service said that it did not run the call. */
		NOT_RUN,

		/** The service answered completely, with any status. */
		COMPLETED,

		/** The call left and no complete answer came back. */
		UNKNOWN

	}

}
