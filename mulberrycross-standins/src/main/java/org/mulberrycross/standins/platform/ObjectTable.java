package org.mulberrycross.standins.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.Step;
import org.mulberrycross.StorePosition;
import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.ObjectPage;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;

/**
 * Object store in memory. One revision counter numbers the writes of all objects and is
 * the version of the object that was written. Thread-safe.
 */
public final class ObjectTable implements ObjectStore {

	/** Maximum length of a value: 1 MB. */
	static final int MAX_VALUE_BYTES = 1 << 20;

	/** Number of changes that are kept for watches. */
	private static final int MAX_CHANGES = 100_000;

	private final TreeMap<String, StoredObject> objects = new TreeMap<>();

	private final List<ObjectChange> changes = new ArrayList<>();

	private long revision;

	/** Revision of the newest change that was discarded, 0 if none was. */
	private long compactedRevision;

	@Override
	public synchronized Optional<StoredObject> read(String key) {
		return Optional.ofNullable(this.objects.get(key));
	}

	@Override
	public synchronized ObjectPage list(Set<String> kinds, String after, int limit) {
		List<StoredObject> found = new ArrayList<>();
		for (StoredObject object : this.objects.tailMap(after, false).values()) {
			if (kinds.contains(object.kind())) {
				if (found.size() == limit) {
					return new ObjectPage(this.revision, found, true);
				}
				found.add(object);
			}
		}
		return new ObjectPage(this.revision, found, false);
	}

	@Override
	public synchronized OptionalLong create(String key, byte[] value) throws NotRunException {
		if (this.objects.containsKey(key)) {
			return OptionalLong.empty();
		}
		return put(key, value);
	}

	@Override
	public synchronized OptionalLong replace(String key, byte[] value, long expectedVersion) throws NotRunException {
		StoredObject current = this.objects.get(key);
		if (current == null || current.version() != expectedVersion) {
			return OptionalLong.empty();
		}
		return put(key, value);
	}

	@Override
	public synchronized boolean delete(String key, long expectedVersion) {
		StoredObject current = this.objects.get(key);
		if (current == null || current.version() != expectedVersion) {
			return false;
		}
		this.objects.remove(key);
		this.revision++;
		recordChange(new ObjectChange(key, this.revision, Optional.empty()));
		return true;
	}

	@Override
	public synchronized WatchResult watch(Set<String> kinds, StorePosition after, Duration timeout) {
		long deadlineNanos = System.nanoTime() + timeout.toNanos();
		while (true) {
			if (after.revision() < this.compactedRevision) {
				return new WatchResult(this.revision, List.of(), true);
			}
			List<ObjectChange> matching = this.changes.stream()
				.filter((change) -> change.version() > after.revision())
				.filter((change) -> kinds.contains(change.key().substring(0, change.key().indexOf('/'))))
				.toList();
			long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
			if (!matching.isEmpty() || remainingMillis <= 0) {
				return new WatchResult(this.revision, matching, false);
			}
			try {
				wait(remainingMillis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return new WatchResult(this.revision, List.of(), false);
			}
		}
	}

	private OptionalLong put(String key, byte[] value) throws NotRunException {
		if (value.length > MAX_VALUE_BYTES) {
			throw new NotRunException(Step.WRITE_OBJECT, new Peer(Peer.Kind.PLATFORM, ""), "value is longer than 1 MB");
		}
		this.revision++;
		StoredObject object = new StoredObject(key, this.revision, value);
		this.objects.put(key, object);
		recordChange(new ObjectChange(key, this.revision, Optional.of(object)));
		return OptionalLong.of(this.revision);
	}

	private void recordChange(ObjectChange change) {
		this.changes.add(change);
		if (this.changes.size() > MAX_CHANGES) {
			this.compactedRevision = this.changes.remove(0).version();
		}
		notifyAll();
	}

}
