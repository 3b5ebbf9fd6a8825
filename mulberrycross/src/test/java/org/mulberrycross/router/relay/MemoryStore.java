package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;

import org.mulberrycross.StorePosition;
import org.mulberrycross.platform.ObjectPage;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;

/**
 * Keeps objects in memory, without a history. Thread-safe as far as single calls go.
 */
final class MemoryStore implements ObjectStore {

	final Map<String, StoredObject> objects = new ConcurrentSkipListMap<>();

	/** The number of lists that may have been some seconds old. */
	int staleLists;

	@Override
	public Optional<StoredObject> read(String key) {
		return Optional.ofNullable(this.objects.get(key));
	}

	@Override
	public ObjectPage listStale(Set<String> kinds, String after, int limit) {
		this.staleLists++;
		return list(kinds, after, limit);
	}

	@Override
	public ObjectPage list(Set<String> kinds, String after, int limit) {
		return new ObjectPage(1, List.copyOf(this.objects.values()), false);
	}

	@Override
	public OptionalLong create(String key, byte[] value) {
		return (this.objects.putIfAbsent(key, new StoredObject(key, 1, value)) != null) ? OptionalLong.empty()
				: OptionalLong.of(1);
	}

	@Override
	public OptionalLong replace(String key, byte[] value, long expectedVersion) {
		this.objects.put(key, new StoredObject(key, expectedVersion + 1, value));
		return OptionalLong.of(expectedVersion + 1);
	}

	@Override
	public boolean delete(String key, long expectedVersion) {
		return false;
	}

	@Override
	public WatchResult watch(Set<String> kinds, StorePosition after, Duration timeout) {
		throw new UnsupportedOperationException();
	}

}
