package org.mulberrycross.operator;

import java.util.List;
import java.util.Objects;

/**
 * Status of one version of an operator's object. Immutable and thread-safe.
 *
 * @param key the key of the object, {@code kind/name}
 * @param version the version of the object that the status describes; for a deletion, the
 * version of the deletion
 * @param state whether the version is accepted, pending or rejected
 * @param faults the reasons for a rejection, empty unless the state is
 * {@link State#REJECTED}
 */
public record ObjectStatus(String key, long version, State state, List<ValidationError> faults) {

	/**
	 * Creates a status.
	 * @param key the key of the object, not null
	 * @param version the version of the object
	 * @param state whether the version is accepted, pending or rejected, not null
	 * @param faults the reasons for a rejection; null means none
	 */
	public ObjectStatus {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(state, "state");
		faults = (faults != null) ? List.copyOf(faults) : List.of();
	}

	/**
	 * States of a version of an object in the acceptance process.
	 */
	public enum State {

		/** The version is part of the accepted configuration. */
		ACCEPTED,

		/** No publisher has accepted or rejected the version yet. */
		PENDING,

		/**
		 * The version has validation errors; the previously accepted version remains
		 * active.
		 */
		REJECTED

	}

}
