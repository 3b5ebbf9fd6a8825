package org.mulberrycross.service;

import java.util.Optional;

/**
 * Result of a {@link CallAction}. Immutable and thread-safe.
 */
public sealed interface CallEvent {

	/**
	 * A write took effect.
	 *
	 * @param version the version of the record, 0 for a deletion
	 */
	record Written(long version) implements CallEvent {

	}

	/**
	 * A conditional write was refused, because the record exists or has another version.
	 */
	record Refused() implements CallEvent {

	}

	/**
	 * A write may have taken effect.
	 */
	record WriteLost() implements CallEvent {

	}

	/**
	 * The store did not do anything.
	 *
	 * @param reason why
	 */
	record Unavailable(String reason) implements CallEvent {

	}

	/**
	 * A read was answered.
	 *
	 * @param found the record, empty if there is none
	 */
	record Found(Optional<StoredIntent> found) implements CallEvent {

	}

	/**
	 * The attempt to send ended.
	 *
	 * @param outcome the outcome
	 */
	record Sent(CallOutcome outcome) implements CallEvent {

	}

}
