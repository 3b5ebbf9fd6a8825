package org.mulberrycross.operator;

import java.util.List;
import java.util.Objects;

/**
 * Status of one version of an operator's object. Immutable and thread-safe.
 *
 * @param key the key of the object, {@code kind/name}
 * @param version the version of the object that the status is about; for a deletion, the
 * version of the deletion
 * @param state whether the version is accepted
 * @param faults why it was rejected, empty unless the state is rejected
 */
public record ObjectStatus(String key, long version, State state, List<Fault> faults) {

	/**
	 * Creates a status.
	 * @param key the key of the object, not null
	 * @param version the version of the object
	 * @param state whether the version is accepted, not null
	 * @param faults why it was rejected; null means none
	 */
	public ObjectStatus {
		Objects.requireNonNull(key, "key");
		Objects.requireNonNull(state, "state");
		faults = (faults != null) ? List.copyOf(faults) : List.of();
	}

	/**
	 * States of a version of an object.
	 */
	public enum State {

		/** The version is part of the accepted configuration. */
		ACCEPTED,

		/** No publisher has decided on the version yet. */
		PENDING,

		/** The version has faults; the version accepted before it stays in force. */
		REJECTED

	}

}
