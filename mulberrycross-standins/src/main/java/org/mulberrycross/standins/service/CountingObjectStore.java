package org.mulberrycross.standins.service;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.mulberrycross.NotRunException;
import org.mulberrycross.StorePosition;
import org.mulberrycross.platform.ObjectPage;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;
import org.mulberrycross.standins.platform.ObjectTable;

/**
 * Object store in memory that counts its calls and delays each by a fixed time, half of
 * it before and half after the access. A write that fails on its condition counts as a
 * write and as a conflict. Lists and watches are neither delayed nor counted.
 * Thread-safe.
 */
final class CountingObjectStore implements ObjectStore {

	private final ObjectTable table = new ObjectTable();

	private final Duration oneWayDelay;

	private final LongAdder reads = new LongAdder();

	private final LongAdder writes = new LongAdder();

	private final LongAdder conflicts = new LongAdder();

	private final LongAdder bytes = new LongAdder();

	CountingObjectStore(Duration callTime) {
		this.oneWayDelay = callTime.dividedBy(2);
	}

	LongAdder reads() {
		return this.reads;
	}

	LongAdder writes() {
		return this.writes;
	}

	LongAdder conflicts() {
		return this.conflicts;
	}

	LongAdder bytes() {
		return this.bytes;
	}

	@Override
	public Optional<StoredObject> read(String key) {
		this.reads.increment();
		sleepOneWay();
		Optional<StoredObject> found = this.table.read(key);
		sleepOneWay();
		return found;
	}

	@Override
	public ObjectPage list(Set<String> kinds, String after, int limit) {
		return this.table.list(kinds, after, limit);
	}

	@Override
	public OptionalLong create(String key, byte[] value) {
		sleepOneWay();
		try {
			return recordWrite(this.table.create(key, value), value.length);
		}
		catch (NotRunException ex) {
			throw new IllegalStateException("value of " + key + " exceeds the size limit of the object API", ex);
		}
	}

	@Override
	public OptionalLong replace(String key, byte[] value, long expectedVersion) {
		sleepOneWay();
		try {
			return recordWrite(this.table.replace(key, value, expectedVersion), value.length);
		}
		catch (NotRunException ex) {
			throw new IllegalStateException("value of " + key + " exceeds the size limit of the object API", ex);
		}
	}

	@Override
	public boolean delete(String key, long expectedVersion) {
		sleepOneWay();
		boolean deleted = this.table.delete(key, expectedVersion);
		return recordWrite(deleted ? OptionalLong.of(0) : OptionalLong.empty(), 0).isPresent();
	}

	@Override
	public WatchResult watch(Set<String> kinds, StorePosition after, Duration timeout) {
		return this.table.watch(kinds, after, timeout);
	}

	private OptionalLong recordWrite(OptionalLong version, int length) {
		this.writes.increment();
		this.bytes.add(length);
		if (version.isEmpty()) {
			this.conflicts.increment();
		}
		sleepOneWay();
		return version;
	}

	private void sleepOneWay() {
		try {
			TimeUnit.NANOSECONDS.sleep(this.oneWayDelay.toNanos());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
