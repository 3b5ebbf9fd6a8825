package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.StorePosition;
import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;
import org.mulberrycross.sibling.ChangesReply;
import org.mulberrycross.sibling.SharedChange;

/**
 * Changes that a sibling passed on, and the time up to which they are complete by the
 * clocks of this daemon. Immutable and thread-safe.
 *
 * @param result the changes and the revision after them, not null
 * @param confirmedAsOf the time up to which they are known to be complete, not null
 */
record SiblingChanges(WatchResult result, ClockReading confirmedAsOf) {

	SiblingChanges {
		Objects.requireNonNull(result, "result");
		Objects.requireNonNull(confirmedAsOf, "confirmedAsOf");
	}

	// Returns the changes of a reply, or empty if it contradicts what is known: it is
	// from
	// another era of the store, or from a build that names none, the revision goes back,
	// a change is newer than the revision, or the confirmation is
	// later than the reply. The query arrived at the sibling after it was sent, so the
	// time of sending less the age is before the confirmation, whatever was delayed.
	static Optional<SiblingChanges> of(ChangesReply reply, StorePosition after, ClockReading sentAt,
			ClockReading receivedAt) {
		boolean futureChange = reply.changes()
			.stream()
			.anyMatch((change) -> change.version() > reply.position().revision());
		ClockReading confirmedAsOf = sentAt.plus(Duration.ofMillis(-reply.ageMillis()));
		boolean futureConfirmation = confirmedAsOf.monotonicNanos() - receivedAt.monotonicNanos() > 0;
		if (!after.isCoveredBy(reply.position()) || futureChange || futureConfirmation) {
			return Optional.empty();
		}
		List<ObjectChange> changes = reply.changes().stream().map(SiblingChanges::toObjectChange).toList();
		return Optional.of(new SiblingChanges(new WatchResult(reply.position(), changes, false), confirmedAsOf));
	}

	// Returns that the objects must be listed again, since the position is from an era of
	// the store that has ended.
	static SiblingChanges outdated(StorePosition position, ClockReading asOf) {
		return new SiblingChanges(new WatchResult(position, List.of(), true), asOf);
	}

	private static ObjectChange toObjectChange(SharedChange change) {
		return new ObjectChange(change.key(), change.version(),
				change.value().map((value) -> new StoredObject(change.key(), change.version(), value)));
	}

}
