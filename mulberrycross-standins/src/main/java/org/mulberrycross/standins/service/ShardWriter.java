package org.mulberrycross.standins.service;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;

import org.mulberrycross.http.Json;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;

/**
 * Writes one shard of a sharded intent ledger for one daemon. It does only what
 * determines the cost of the writes: one conditional replace commits all pending entries,
 * and after a version conflict the shard is read again. Thread-safe.
 */
final class ShardWriter implements Runnable {

	private final ObjectStore store;

	private final String key;

	private final int maxEntries;

	private final BlockingQueue<Entry> pendingEntries = new LinkedBlockingQueue<>();

	ShardWriter(ObjectStore store, String key, int maxEntries) {
		this.store = store;
		this.key = key;
		this.maxEntries = maxEntries;
	}

	CompletableFuture<Void> write(String name, String text) {
		Entry entry = new Entry(name, text, new CompletableFuture<>());
		this.pendingEntries.add(entry);
		return entry.written();
	}

	@Override
	public void run() {
		Optional<StoredObject> current = Optional.empty();
		try {
			while (!Thread.currentThread().isInterrupted()) {
				List<Entry> batch = new ArrayList<>(List.of(this.pendingEntries.take()));
				this.pendingEntries.drainTo(batch);
				current = commit(batch, current);
				batch.forEach((entry) -> entry.written().complete(null));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (Exception ex) {
			throw new IllegalStateException("shard " + this.key + " cannot be written", ex);
		}
	}

	private Optional<StoredObject> commit(List<Entry> batch, Optional<StoredObject> lastKnown) throws Exception {
		Optional<StoredObject> current = lastKnown;
		while (!Thread.currentThread().isInterrupted()) {
			byte[] value = merge(batch, current);
			OptionalLong version = current.isPresent() ? this.store.replace(this.key, value, current.get().version())
					: this.store.create(this.key, value);
			if (version.isPresent()) {
				return Optional.of(new StoredObject(this.key, version.getAsLong(), value));
			}
			current = this.store.read(this.key);
		}
		return current;
	}

	@SuppressWarnings("unchecked")
	private byte[] merge(List<Entry> batch, Optional<StoredObject> current) throws Exception {
		Map<String, String> entries = new LinkedHashMap<>();
		if (current.isPresent()) {
			entries.putAll(Json.mapper().readValue(current.get().value(), Map.class));
		}
		batch.forEach((entry) -> entries.put(entry.name(), entry.text()));
		while (entries.size() > this.maxEntries) {
			entries.remove(entries.keySet().iterator().next());
		}
		return Json.encode(entries);
	}

	/**
	 * Entry that waits for a commit.
	 *
	 * @param name the name of the intent
	 * @param text the intent record, as JSON text
	 * @param written is completed once the entry is committed
	 */
	private record Entry(String name, String text, CompletableFuture<Void> written) {

	}

}
