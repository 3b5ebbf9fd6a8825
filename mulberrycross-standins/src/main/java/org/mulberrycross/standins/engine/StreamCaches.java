package org.mulberrycross.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Caches of streams, up to a number of bytes. Drops the ones that were not used for the
 * longest time when the limit is reached, and idle ones. Not thread-safe.
 */
final class StreamCaches {

	private final long maxBytes;

	private final long idleNanos;

	private final Map<String, StreamCache> caches = new LinkedHashMap<>(64, 0.75f, true);

	private long bytes;

	StreamCaches(long maxBytes, long idleNanos) {
		this.maxBytes = maxBytes;
		this.idleNanos = idleNanos;
	}

	Optional<StreamCache> find(String stream) {
		return Optional.ofNullable(this.caches.get(stream));
	}

	void put(String stream, StreamCache cache) {
		remove(stream);
		this.caches.put(stream, cache);
		this.bytes += cache.bytes();
	}

	void remove(String stream) {
		Optional.ofNullable(this.caches.remove(stream)).ifPresent((removed) -> this.bytes -= removed.bytes());
	}

	void clear() {
		this.caches.clear();
		this.bytes = 0;
	}

	/**
	 * Drops what is idle or over the limit.
	 * @param now the time in nanoseconds
	 */
	void trim(long now) {
		Iterator<StreamCache> oldestFirst = this.caches.values().iterator();
		while (oldestFirst.hasNext()) {
			StreamCache cache = oldestFirst.next();
			if (this.bytes <= this.maxBytes && now - cache.usedNanos() < this.idleNanos) {
				return;
			}
			oldestFirst.remove();
			this.bytes -= cache.bytes();
		}
	}

}
