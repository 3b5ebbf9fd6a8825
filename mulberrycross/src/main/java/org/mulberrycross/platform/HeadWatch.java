package org.mulberrycross.platform;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;

import org.mulberrycross.PeerException;

/**
 * Follows the head in the object API. Not thread-safe; one thread owns it.
 */
public final class HeadWatch {

	private static final Set<String> KINDS = Set.of(ConfigurationHead.KIND);

	private static final long NOT_READ = -1;

	private final ObjectStore store;

	private final SnapshotSource source;

	private final ConfigurationFollower follower;

	private long revision = NOT_READ;

	/**
	 * Creates a watch that has read nothing yet.
	 * @param store the object API, not null
	 * @param follower applies what the watch sees, not null
	 */
	public HeadWatch(ObjectStore store, ConfigurationFollower follower) {
		this.store = Objects.requireNonNull(store, "store");
		this.source = SnapshotSource.of(store);
		this.follower = Objects.requireNonNull(follower, "follower");
	}

	/**
	 * Reads the head at the first call and after a failure, else waits for a change of
	 * it; then applies the newest head.
	 * @param wait the longest wait for a change, zero or positive
	 * @throws PeerException if the store does not answer or a chunk is gone because the
	 * head has been replaced since; the next call then reads the head anew
	 */
	public void step(Duration wait) throws PeerException {
		long after = this.revision;
		this.revision = NOT_READ;
		if (after == NOT_READ) {
			ObjectPage page = this.store.list(KINDS, "", 1);
			for (StoredObject object : page.objects()) {
				this.follower.follow(object.value(), this.source);
			}
			this.revision = page.revision();
			return;
		}
		WatchResult result = this.store.watch(KINDS, after, wait);
		if (result.compacted()) {
			return;
		}
		if (!result.changes().isEmpty()) {
			ObjectChange last = result.changes().get(result.changes().size() - 1);
			if (last.object().isPresent()) {
				this.follower.follow(last.object().get().value(), this.source);
			}
		}
		this.revision = result.revision();
	}

}
