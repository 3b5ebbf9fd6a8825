package org.mulberrycross.service;

import java.util.Objects;

/**
 * Record of a call that must not be repeated, as kept in the object API. Immutable and
 * thread-safe; the body must not be changed.
 *
 * @param token the unique token of the attempt that created the record, not null
 * @param digest the digest of the request, not null
 * @param state how far the call is, not null
 * @param changedMillis the creator's wall clock at the last change, in milliseconds since
 * 1970
 * @param status the status code, 0 unless settled as completed
 * @param contentType the media type of the body, empty if unknown
 * @param body the body of the service's reply, empty for none
 * @param bodyDropped whether the body was too long to be stored
 */
public record IntentRecord(String token, String digest, State state, long changedMillis, int status, String contentType,
		byte[] body, boolean bodyDropped) {

	private static final byte[] NO_BODY = {};

	/**
	 * Creates a record.
	 * @param token the unique token of the attempt that created the record, not null
	 * @param digest the digest of the request, not null
	 * @param state how far the call is, not null
	 * @param changedMillis the creator's wall clock at the last change
	 * @param status the status code, 0 unless settled as completed
	 * @param contentType the media type of the body, not null
	 * @param body the body of the service's reply, not null
	 * @param bodyDropped whether the body was too long to be stored
	 */
	public IntentRecord {
		Objects.requireNonNull(token, "token");
		Objects.requireNonNull(digest, "digest");
		Objects.requireNonNull(state, "state");
		Objects.requireNonNull(contentType, "contentType");
		Objects.requireNonNull(body, "body");
	}

	/**
	 * Returns the record of a call that has not been sent yet.
	 * @param token the unique token of the attempt, not null
	 * @param digest the digest of the request, not null
	 * @param nowMillis the wall clock
	 * @return the record
	 */
	public static IntentRecord claimed(String token, String digest, long nowMillis) {
		return new IntentRecord(token, digest, State.CLAIMED, nowMillis, 0, "", NO_BODY, false);
	}

	/**
	 * Returns this record with the outcome of the call.
	 * @param outcome the outcome, completed or unknown
	 * @param nowMillis the wall clock
	 * @param maxBodyBytes the longest body to store, in bytes
	 * @return the settled record
	 */
	public IntentRecord settled(CallOutcome outcome, long nowMillis, int maxBodyBytes) {
		if (outcome.kind() == CallOutcome.Kind.NOT_RUN) {
			throw new IllegalArgumentException("a call that did not run is released, not settled");
		}
		if (outcome.kind() == CallOutcome.Kind.UNKNOWN) {
			return new IntentRecord(this.token, this.digest, State.UNKNOWN, nowMillis, 0, "", NO_BODY, false);
		}
		boolean dropped = outcome.body().length > maxBodyBytes;
		return new IntentRecord(this.token, this.digest, State.COMPLETED, nowMillis, outcome.status(),
				outcome.contentType(), dropped ? NO_BODY : outcome.body(), dropped);
	}

	/**
	 * States of a record.
	 */
	public enum State {

		/** The creator may send the call at any time from now on. */
		CLAIMED,

		/** The service answered; the creator never sends again. */
		COMPLETED,

		/** The call left and no answer came; the creator never sends again. */
		UNKNOWN

	}

}
