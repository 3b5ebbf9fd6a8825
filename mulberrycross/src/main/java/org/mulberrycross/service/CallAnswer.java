package org.mulberrycross.service;

import java.util.Objects;

/**
 * Answer to a caller: the outcome of its call and where that outcome comes from.
 * Immutable and thread-safe.
 *
 * @param kind the origin of the outcome, not null
 * @param outcome the outcome of this or an earlier attempt, not null
 */
public record CallAnswer(Kind kind, CallOutcome outcome) {

	/**
	 * Creates an answer.
	 * @param kind the origin of the outcome, not null
	 * @param outcome the outcome of this or an earlier attempt, not null
	 */
	public CallAnswer {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(outcome, "outcome");
	}

	/**
	 * Origin of the outcome in an answer.
	 */
	public enum Kind {

		/** The outcome is that of this attempt. */
		ATTEMPTED,

		/** The outcome is the recorded one of an earlier attempt with the same key. */
		STORED,

		/** An earlier attempt completed, but its body was too long to be stored. */
		STORED_WITHOUT_BODY,

		/** An earlier attempt with the same key may still be running. */
		IN_PROGRESS,

		/** The key was used before for a different request; this one did not run. */
		KEY_REUSED

	}

}
