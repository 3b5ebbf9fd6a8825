package org.mulberrycross.standins.service;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.mulberrycross.NotRunException;
import org.mulberrycross.platform.ObjectPage;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;
import org.mulberrycross.standins.platform.ObjectTable;

/**
 * Object table whose calls take a stated time and are counted; a refused write counts as
 * a write. Thread-safe.
 */
final class CountedTable implements ObjectStore {

	private final ObjectTable table = new ObjectTable();

	private final Duration halfTrip;

	private final LongAdder reads = new LongAdder();

	private final LongAdder writes = new LongAdder();

	private final LongAdder refused = new LongAdder();

	private final LongAdder bytes = new LongAdder();

	CountedTable(Duration callTime) {
		this.halfTrip = callTime.dividedBy(2);
	}

	LongAdder reads() {
		return this.reads;
	}

	LongAdder writes() {
		return this.writes;
	}

	LongAdder refused() {
		return this.refused;
	}

	LongAdder bytes() {
		return this.bytes;
	}

	@Override
	public Optional<StoredObject> read(String key) {
		this.reads.increment();
		travel();
		Optional<StoredObject> found = this.table.read(key);
		travel();
		return found;
	}

	@Override
	public ObjectPage list(Set<String> kinds, String after, int limit) {
		return this.table.list(kinds, after, limit);
	}

	@Override
	public OptionalLong create(String key, byte[] value) {
		travel();
		try {
			return written(this.table.create(key, value), value.length);
		}
		catch (NotRunException ex) {
			throw new IllegalStateException("a record of this run is above the limit of the object API", ex);
		}
	}

	@Override
	public OptionalLong replace(String key, byte[] value, long expectedVersion) {
		travel();
		try {
			return written(this.table.replace(key, value, expectedVersion), value.length);
		}
		catch (NotRunException ex) {
			throw new IllegalStateException("a record of this run is above the limit of the object API", ex);
		}
	}

	@Override
	public boolean delete(String key, long expectedVersion) {
		travel();
		boolean deleted = this.table.delete(key, expectedVersion);
		return written(deleted ? OptionalLong.of(0) : OptionalLong.empty(), 0).isPresent();
	}

	@Override
	public WatchResult watch(Set<String> kinds, long afterRevision, Duration timeout) {
		return this.table.watch(kinds, afterRevision, timeout);
	}

	private OptionalLong written(OptionalLong version, int length) {
		this.writes.increment();
		this.bytes.add(length);
		if (version.isEmpty()) {
			this.refused.increment();
		}
		travel();
		return version;
	}

	private void travel() {
		try {
			TimeUnit.NANOSECONDS.sleep(this.halfTrip.toNanos());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
