package org.mulberrycross.platform;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.mulberrycross.PeerException;
import org.mulberrycross.StorePosition;

/**
 * Watches the head in the object API and passes it to a follower. Not thread-safe; owned
 * by one thread.
 */
public final class HeadWatch {

	private static final Set<String> KINDS = Set.of(ConfigurationHead.KIND);

	private final ObjectStore store;

	private final SnapshotSource source;

	private final ConfigurationFollower follower;

	/** The position up to which changes are known, empty before the head is read. */
	private Optional<StorePosition> position = Optional.empty();

	/**
	 * Creates a watch that reads the head at the first call of {@link #poll}.
	 * @param store the object API, not null
	 * @param follower applies the heads that are read, not null
	 */
	public HeadWatch(ObjectStore store, ConfigurationFollower follower) {
		this.store = Objects.requireNonNull(store, "store");
		this.source = SnapshotSource.of(store);
		this.follower = Objects.requireNonNull(follower, "follower");
	}

	/**
	 * Reads the head at the first call, after a failure and when the store has come back
	 * from an older copy, otherwise waits for it to change; then applies the newest head.
	 * @param wait the maximum wait for a change, zero or positive
	 * @throws PeerException if a call to the store fails or a chunk was deleted because
	 * the head has been replaced in the meantime; the next call then reads the head again
	 */
	public void poll(Duration wait) throws PeerException {
		Optional<StorePosition> after = this.position;
		this.position = Optional.empty();
		if (after.isEmpty()) {
			ObjectPage page = this.store.list(KINDS, "", 1);
			for (StoredObject object : page.objects()) {
				this.follower.applyIfNewer(object.value(), this.source);
			}
			this.position = Optional.of(page.position());
			return;
		}
		WatchResult result = this.store.watch(KINDS, after.get(), wait);
		if (result.compacted() || !result.position().isSameEra(after.get())) {
			return;
		}
		if (!result.changes().isEmpty()) {
			ObjectChange last = result.changes().get(result.changes().size() - 1);
			if (last.object().isPresent()) {
				this.follower.applyIfNewer(last.object().get().value(), this.source);
			}
		}
		this.position = Optional.of(result.position());
	}

}
