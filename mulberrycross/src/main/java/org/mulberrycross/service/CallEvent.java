package org.mulberrycross.service;

import java.util.Optional;

/**
 * Result of a {@link CallAction} that was performed. Immutable and thread-safe.
 */
public sealed interface CallEvent {

	/**
	 * A write of the store took effect.
	 *
	 * @param version the new version of the record, 0 for a deletion
	 */
	record WriteConfirmed(long version) implements CallEvent {

	}

	/**
	 * A conditional write had no effect, because the record exists already, has another
	 * version or has been deleted.
	 */
	record WriteConflict() implements CallEvent {

	}

	/**
	 * A write got no response; it may have taken effect or may still do so.
	 */
	record WriteUnconfirmed() implements CallEvent {

	}

	/**
	 * A read got no response, or the store is known not to have applied a write.
	 *
	 * @param reason the error of the store
	 */
	record StoreUnavailable(String reason) implements CallEvent {

	}

	/**
	 * A read got a response, possibly without a record.
	 *
	 * @param storedIntent the record, empty if there is none
	 */
	record ReadCompleted(Optional<StoredIntent> storedIntent) implements CallEvent {

	}

	/**
	 * Sending the call ended, with or without a response.
	 *
	 * @param outcome the outcome of the call
	 */
	record SendCompleted(CallOutcome outcome) implements CallEvent {

	}

}
