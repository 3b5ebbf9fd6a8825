package org.mulberrycross.platform;

import java.util.List;
import java.util.Objects;

import org.mulberrycross.StorePosition;

/**
 * Result of a watch. Immutable and thread-safe.
 *
 * @param position the position from which the next watch continues, not null
 * @param changes the changes in the order in which they were made, empty if the watch
 * timed out
 * @param compacted whether the store no longer retains the changes since the watched
 * position, so that the objects must be listed again
 */
public record WatchResult(StorePosition position, List<ObjectChange> changes, boolean compacted) {

	/**
	 * Creates a result.
	 * @param position the position from which the next watch continues, not null
	 * @param changes the changes in the order in which they were made, not null
	 * @param compacted whether the objects must be listed again
	 */
	public WatchResult {
		Objects.requireNonNull(position, "position");
		changes = List.copyOf(changes);
	}

	/**
	 * Creates a result of a store that names no eras.
	 * @param revision the revision from which the next watch continues
	 * @param changes the changes in the order in which they were made, not null
	 * @param compacted whether the objects must be listed again
	 */
	public WatchResult(long revision, List<ObjectChange> changes, boolean compacted) {
		this(StorePosition.of(revision), changes, compacted);
	}

	/**
	 * Returns the revision of the position.
	 * @return the revision from which the next watch continues
	 */
	public long revision() {
		return this.position.revision();
	}

}
