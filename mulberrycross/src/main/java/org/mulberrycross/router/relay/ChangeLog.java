package org.mulberrycross.router.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mulberrycross.StorePosition;
import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.WatchResult;

/**
 * The latest changes of the objects of one kind that this daemon itself read from the
 * store, and the revisions that they cover. Not thread-safe.
 */
final class ChangeLog {

	/** Maximum number of changes kept; a sibling is rarely behind by more than one. */
	private static final int MAX_CHANGES = 256;

	/** Maximum size of the objects kept, except those of the latest batch. */
	private static final int MAX_BYTES = 1 << 20;

	private final Deque<Batch> batches = new ArrayDeque<>();

	private int changeCount;

	private long byteCount;

	/** The revision from which on changes are known, in the era of the position. */
	private long startRevision;

	private StorePosition position = StorePosition.of(0);

	private Optional<ClockReading> confirmedAsOf = Optional.empty();

	// Starts at a position of the store, without the changes before it.
	void restart(StorePosition start, ClockReading asOf) {
		clear();
		this.startRevision = start.revision();
		this.position = start;
		this.confirmedAsOf = Optional.of(asOf);
	}

	// Forgets all changes. Nothing is known until the next ones are read from the store.
	void clear() {
		this.batches.clear();
		this.changeCount = 0;
		this.byteCount = 0;
		this.confirmedAsOf = Optional.empty();
	}

	// Adds the result of a watch that began after a position of the same era, and the
	// time up to which it is known to be complete. The log starts there if it does not
	// end there.
	void append(StorePosition after, WatchResult result, ClockReading asOf) {
		if (!isKnown() || !after.equals(this.position) || !after.isCoveredBy(result.position())) {
			restart(result.position().withRevision(Math.min(after.revision(), result.revision())), asOf);
		}
		if (!result.changes().isEmpty()) {
			Batch batch = Batch.of(result);
			this.batches.add(batch);
			this.changeCount += batch.changes().size();
			this.byteCount += batch.bytes();
		}
		this.position = result.position();
		this.confirmedAsOf = Optional.of(asOf);
		while (this.batches.size() > 1 && (this.changeCount > MAX_CHANGES || this.byteCount > MAX_BYTES)) {
			Batch dropped = this.batches.remove();
			this.changeCount -= dropped.changes().size();
			this.byteCount -= dropped.bytes();
			this.startRevision = dropped.toRevision();
		}
	}

	boolean isKnown() {
		return this.confirmedAsOf.isPresent();
	}

	StorePosition position() {
		return this.position;
	}

	// Returns the time up to which the changes are known to be complete, empty if nothing
	// is known.
	Optional<ClockReading> confirmedAsOf() {
		return this.confirmedAsOf;
	}

	// Returns the changes after a position, empty if they are not all known.
	Optional<List<ObjectChange>> changesAfter(StorePosition after) {
		if (!isKnown() || !after.isCoveredBy(this.position) || after.revision() < this.startRevision) {
			return Optional.empty();
		}
		long afterRevision = after.revision();
		List<ObjectChange> changes = new ArrayList<>();
		for (Batch batch : this.batches) {
			if (batch.toRevision() > afterRevision) {
				batch.changes().stream().filter((change) -> isNewer(change, afterRevision)).forEach(changes::add);
			}
		}
		return Optional.of(changes);
	}

	// The version of a deletion may be that of the object before it, so that it does not
	// tell when the object was deleted.
	private static boolean isNewer(ObjectChange change, long afterRevision) {
		return change.object().isEmpty() || change.version() > afterRevision;
	}

	/**
	 * The last change of each key that one watch returned, and the revision after them.
	 * Earlier changes of a key are left out: without them, a deletion whose revision is
	 * not known can be repeated to a sibling that has seen it.
	 */
	private record Batch(long toRevision, Collection<ObjectChange> changes, long bytes) {

		static Batch of(WatchResult result) {
			Map<String, ObjectChange> latest = new LinkedHashMap<>();
			result.changes().forEach((change) -> {
				latest.remove(change.key());
				latest.put(change.key(), change);
			});
			long bytes = latest.values()
				.stream()
				.flatMap((change) -> change.object().stream())
				.mapToLong((object) -> object.value().length)
				.sum();
			return new Batch(result.revision(), List.copyOf(latest.values()), bytes);
		}

	}

}
