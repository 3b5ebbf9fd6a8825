package org.mulberrycross.sibling;

import java.util.List;
import java.util.Objects;

/**
 * Reply of a sibling to a {@link ChangesQuery}. Immutable and thread-safe.
 *
 * @param status whether the changes are known, not null
 * @param revision the revision of the store up to which the changes are known
 * @param ageMillis the time from the moment up to which they are confirmed by the store
 * to the arrival of the query, rounded up; negative if they were confirmed later
 * @param changes the changes in order, empty if nothing changed, not null
 */
public record ChangesReply(Status status, long revision, long ageMillis, List<SharedChange> changes) {

	/**
	 * Creates a reply.
	 * @param status whether the changes are known, not null
	 * @param revision the revision up to which the changes are known
	 * @param ageMillis the age of the confirmation when the query arrived
	 * @param changes the changes in order, not null
	 */
	public ChangesReply {
		Objects.requireNonNull(status, "status");
		changes = List.copyOf(changes);
	}

	/**
	 * Creates a reply without changes, after which the store must be asked.
	 * @param status why the changes are not known, not null
	 * @return the reply
	 */
	public static ChangesReply of(Status status) {
		return new ChangesReply(status, 0, 0, List.of());
	}

	/** Whether a sibling knows the changes. */
	public enum Status {

		/** The changes are known and confirmed by the store itself. */
		KNOWN,

		/** The sibling does not know this daemon, which may have started just now. */
		NOT_LISTED,

		/** The sibling does not follow the store for this kind. */
		NOT_FOLLOWED,

		/** The sibling no longer has the changes since the revision. */
		NOT_COVERED,

		/** The next confirmation is expected too late, or too many queries wait. */
		BUSY,

		/** The store does not answer the sibling. */
		STORE_UNAVAILABLE

	}

}
