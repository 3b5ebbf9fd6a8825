package org.mulberrycross.platform;

import java.util.List;

/**
 * Result of a watch. Immutable and thread-safe.
 *
 * @param revision the revision from which the next watch continues
 * @param changes the changes in the order in which they were made, empty if the watch
 * timed out
 * @param compacted whether the store no longer retains the changes since the watched
 * revision, so that the objects must be listed again
 */
public record WatchResult(long revision, List<ObjectChange> changes, boolean compacted) {

	/**
	 * Creates a result.
	 * @param revision the revision from which the next watch continues
	 * @param changes the changes in the order in which they were made, not null
	 * @param compacted whether the objects must be listed again
	 */
	public WatchResult {
		changes = List.copyOf(changes);
	}

}
