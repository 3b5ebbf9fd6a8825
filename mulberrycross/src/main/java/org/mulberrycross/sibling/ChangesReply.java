package org.mulberrycross.sibling;

import java.util.List;
import java.util.Objects;

import org.mulberrycross.StorePosition;

/**
 * Reply of a sibling to a {@link ChangesQuery}. Immutable and thread-safe.
 *
 * @param status whether the changes are known, not null
 * @param position the position of the store up to which the changes are known; if the
 * status is {@link Status#OTHER_ERA}, that which the sibling has reached; not null
 * @param ageMillis the time from the moment up to which they are confirmed by the store
 * to the arrival of the query, rounded up; negative if they were confirmed later
 * @param changes the changes in order, empty if nothing changed, not null
 */
public record ChangesReply(Status status, StorePosition position, long ageMillis, List<SharedChange> changes) {

	/**
	 * Creates a reply.
	 * @param status whether the changes are known, not null
	 * @param position the position up to which the changes are known, not null
	 * @param ageMillis the age of the confirmation when the query arrived
	 * @param changes the changes in order, not null
	 */
	public ChangesReply {
		Objects.requireNonNull(status, "status");
		Objects.requireNonNull(position, "position");
		changes = List.copyOf(changes);
	}

	/**
	 * Creates a reply without changes, after which the store must be asked.
	 * @param status why the changes are not known, not null
	 * @return the reply
	 */
	public static ChangesReply of(Status status) {
		return new ChangesReply(status, StorePosition.of(0), 0, List.of());
	}

	/**
	 * Creates a reply to a query from another era of the store.
	 * @param position the position that the sibling has reached, not null
	 * @return the reply
	 */
	public static ChangesReply otherEra(StorePosition position) {
		return new ChangesReply(Status.OTHER_ERA, position, 0, List.of());
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

		/**
		 * The position of the query is from another era of the store than the sibling's.
		 */
		OTHER_ERA,

		/** The next confirmation is expected too late, or too many queries wait. */
		BUSY,

		/** The store does not answer the sibling. */
		STORE_UNAVAILABLE

	}

}
