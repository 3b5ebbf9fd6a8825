package org.mulberrycross.service;

import java.util.Objects;

/**
 * Intent record: announces a call that must not be repeated, and later holds its outcome.
 * The record components are the fields of its JSON form. Immutable and thread-safe; the
 * body must not be changed.
 *
 * @param token the unique token of the attempt that created the record, not null
 * @param digest the digest that detects reuse of a key for another request, not null
 * @param state whether the outcome is known, not null
 * @param changedMillis the creator's wall clock at the last change, in epoch milliseconds
 * @param status the HTTP status code, 0 unless the call completed
 * @param contentType the media type of the body, empty if unknown
 * @param body the body of the service's response, empty for none
 * @param bodyDropped whether the body was too long to be stored
 */
public record IntentRecord(String token, String digest, State state, long changedMillis, int status, String contentType,
		byte[] body, boolean bodyDropped) {

	private static final byte[] NO_BODY = {};

	/**
	 * Creates a record.
	 * @param token the unique token of the attempt that created the record, not null
	 * @param digest the digest that detects reuse of a key for another request, not null
	 * @param state whether the outcome is known, not null
	 * @param changedMillis the creator's wall clock in epoch milliseconds at the last
	 * change of the record
	 * @param status the HTTP status code, 0 unless the call completed
	 * @param contentType the media type of the body, not null
	 * @param body the body of the service's response, not null
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
	 * @param nowMillis the wall clock, in epoch milliseconds
	 * @return the claimed record
	 */
	public static IntentRecord claimed(String token, String digest, long nowMillis) {
		return new IntentRecord(token, digest, State.CLAIMED, nowMillis, 0, "", NO_BODY, false);
	}

	/**
	 * Returns this record with the outcome of the call.
	 * @param outcome the outcome, completed or unknown
	 * @param nowMillis the wall clock, in epoch milliseconds
	 * @param maxBodyBytes the size in bytes above which the body is not stored
	 * @return the settled record
	 */
	public IntentRecord settled(CallOutcome outcome, long nowMillis, int maxBodyBytes) {
		if (outcome.kind() == CallOutcome.Kind.NOT_RUN) {
			throw new IllegalArgumentException(
					"attempt " + this.token + " did not run and must be released, not settled");
		}
		if (outcome.kind() == CallOutcome.Kind.UNKNOWN) {
			return new IntentRecord(this.token, this.digest, State.UNKNOWN, nowMillis, 0, "", NO_BODY, false);
		}
		boolean dropped = outcome.body().length > maxBodyBytes;
		return new IntentRecord(this.token, this.digest, State.COMPLETED, nowMillis, outcome.status(),
				outcome.contentType(), dropped ? NO_BODY : outcome.body(), dropped);
	}

	/**
	 * Whether the outcome of the recorded call is known.
	 */
	public enum State {

		/** The creator has not recorded an outcome; it may have sent, or may yet send. */
		CLAIMED,

		/** The service sent a complete response; the creator never sends again. */
		COMPLETED,

		/**
		 * The call was sent and got no complete response; the creator never sends again.
		 */
		UNKNOWN

	}

}
