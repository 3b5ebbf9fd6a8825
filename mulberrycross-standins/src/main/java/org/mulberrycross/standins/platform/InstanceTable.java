package org.mulberrycross.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.platform.http.InstanceMessages;

/**
 * Instances in memory. Edits show after a lag. Thread-safe.
 */
public final class InstanceTable {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<String, InstanceMessages.Item> shown = new TreeMap<>();

	private final Deque<Edit> edits = new ArrayDeque<>();

	private final MonotonicClock clock;

	private final long lagNanos;

	/**
	 * Creates an empty table.
	 * @param clock the clock, not null
	 * @param lagMillis the time after which an edit shows, in milliseconds
	 */
	public InstanceTable(MonotonicClock clock, long lagMillis) {
		this.clock = clock;
		this.lagNanos = lagMillis * NANOS_PER_MILLI;
	}

	/**
	 * Adds or replaces an instance.
	 * @param item the instance, not null
	 */
	public synchronized void put(InstanceMessages.Item item) {
		this.edits.add(new Edit(this.clock.nanos() + this.lagNanos, () -> this.shown.put(item.name(), item)));
	}

	/**
	 * Removes an instance.
	 * @param name the name, not null
	 */
	public synchronized void remove(String name) {
		this.edits.add(new Edit(this.clock.nanos() + this.lagNanos, () -> this.shown.remove(name)));
	}

	/**
	 * Returns the instances as they were a lag ago.
	 * @return the instances in the order of their names
	 */
	public synchronized List<InstanceMessages.Item> list() {
		long now = this.clock.nanos();
		while (!this.edits.isEmpty() && now - this.edits.peek().dueNanos >= 0) {
			this.edits.remove().change.run();
		}
		return List.copyOf(this.shown.values());
	}

	private record Edit(long dueNanos, Runnable change) {

	}

}
