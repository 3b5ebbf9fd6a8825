package org.mulberrycross.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Caches of streams, limited in their total size. Evicts the least recently used caches
 * while the limit is exceeded, and caches that have been idle too long. Not thread-safe.
 */
final class StreamCaches {

	private final long maxBytes;

	private final long maxIdleNanos;

	/** In access order, so that the least recently used cache comes first. */
	private final Map<String, StreamCache> caches = new LinkedHashMap<>(64, 0.75f, true);

	private long totalBytes;

	StreamCaches(long maxBytes, long maxIdleNanos) {
		this.maxBytes = maxBytes;
		this.maxIdleNanos = maxIdleNanos;
	}

	Optional<StreamCache> find(String stream) {
		return Optional.ofNullable(this.caches.get(stream));
	}

	void put(String stream, StreamCache cache) {
		remove(stream);
		this.caches.put(stream, cache);
		this.totalBytes += cache.sizeBytes();
	}

	void remove(String stream) {
		Optional.ofNullable(this.caches.remove(stream)).ifPresent((removed) -> this.totalBytes -= removed.sizeBytes());
	}

	void clear() {
		this.caches.clear();
		this.totalBytes = 0;
	}

	/**
	 * Evicts caches while the limit is exceeded, and idle ones.
	 * @param nowNanos the current time of {@link System#nanoTime()}
	 */
	void evict(long nowNanos) {
		Iterator<StreamCache> leastRecentFirst = this.caches.values().iterator();
		while (leastRecentFirst.hasNext()) {
			StreamCache cache = leastRecentFirst.next();
			if (this.totalBytes <= this.maxBytes && nowNanos - cache.lastUsedNanos() < this.maxIdleNanos) {
				return;
			}
			leastRecentFirst.remove();
			this.totalBytes -= cache.sizeBytes();
		}
	}

}
