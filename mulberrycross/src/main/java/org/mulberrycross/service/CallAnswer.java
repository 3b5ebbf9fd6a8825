package org.mulberrycross.service;

import java.util.Objects;

/**
 * What a caller is told about its call. Immutable and thread-safe.
 *
 * @param kind where the answer comes from, not null
 * @param outcome the outcome, not null
 */
public record CallAnswer(Kind kind, CallOutcome outcome) {

	/**
	 * Creates an answer.
	 * @param kind where the answer comes from, not null
	 * @param outcome the outcome, not null
	 */
	public CallAnswer {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(outcome, "outcome");
	}

	/**
	 * Where an answer comes from.
	 */
	public enum Kind {

		/** This attempt ended with the outcome. */
		ATTEMPTED,

		/** An earlier attempt with the same key ended with the outcome. */
		STORED,

		/** An earlier attempt completed, but its body was too long to be stored. */
		STORED_WITHOUT_BODY,

		/** An earlier attempt with the same key may still be running. */
		IN_PROGRESS,

		/** The key was used for another request; this one did not run. */
		KEY_REUSED

	}

}
