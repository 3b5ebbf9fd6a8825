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
 * One daemon's writer of one shard of a sharded intent ledger, as far as the cost of its
 * writes can be measured. All entries that wait go into one conditional replace; after a
 * refused one the shard is read again. Thread-safe.
 */
final class ShardWriter implements Runnable {

	private final ObjectStore store;

	private final String key;

	private final int maxEntries;

	private final BlockingQueue<Entry> waiting = new LinkedBlockingQueue<>();

	ShardWriter(ObjectStore store, String key, int maxEntries) {
		this.store = store;
		this.key = key;
		this.maxEntries = maxEntries;
	}

	CompletableFuture<Void> write(String name, String text) {
		Entry entry = new Entry(name, text, new CompletableFuture<>());
		this.waiting.add(entry);
		return entry.done();
	}

	@Override
	public void run() {
		Optional<StoredObject> current = Optional.empty();
		try {
			while (!Thread.currentThread().isInterrupted()) {
				List<Entry> batch = new ArrayList<>(List.of(this.waiting.take()));
				this.waiting.drainTo(batch);
				current = commit(batch, current);
				batch.forEach((entry) -> entry.done().complete(null));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (Exception ex) {
			throw new IllegalStateException("shard " + this.key + " cannot be written", ex);
		}
	}

	private Optional<StoredObject> commit(List<Entry> batch, Optional<StoredObject> known) throws Exception {
		Optional<StoredObject> current = known;
		while (!Thread.currentThread().isInterrupted()) {
			byte[] value = merged(batch, current);
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
	private byte[] merged(List<Entry> batch, Optional<StoredObject> current) throws Exception {
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
	 * An entry that waits to be written.
	 *
	 * @param name the name of the intent
	 * @param text the record
	 * @param done completed after the write
	 */
	private record Entry(String name, String text, CompletableFuture<Void> done) {

	}

}
