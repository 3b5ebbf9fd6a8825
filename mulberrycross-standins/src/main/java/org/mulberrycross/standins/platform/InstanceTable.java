package org.mulberrycross.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.platform.http.InstanceMessages;

/**
 * Instances in memory. Edits become visible after a delay, as in an eventually consistent
 * list. Thread-safe.
 */
public final class InstanceTable {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<String, InstanceMessages.Item> visible = new TreeMap<>();

	private final Deque<Edit> pendingEdits = new ArrayDeque<>();

	private final MonotonicClock clock;

	private final long lagNanos;

	/**
	 * Creates an empty table.
	 * @param clock measures the delay, not null
	 * @param lagMillis the time after which an edit becomes visible, in milliseconds
	 */
	public InstanceTable(MonotonicClock clock, long lagMillis) {
		this.clock = clock;
		this.lagNanos = lagMillis * NANOS_PER_MILLI;
	}

	/**
	 * Adds or replaces an instance, visible after the delay.
	 * @param item the instance, not null
	 */
	public synchronized void put(InstanceMessages.Item item) {
		this.pendingEdits.add(new Edit(this.clock.nanos() + this.lagNanos, () -> this.visible.put(item.name(), item)));
	}

	/**
	 * Removes an instance, visible after the delay.
	 * @param name the name of the instance, not null; an unknown one is ignored
	 */
	public synchronized void remove(String name) {
		this.pendingEdits.add(new Edit(this.clock.nanos() + this.lagNanos, () -> this.visible.remove(name)));
	}

	/**
	 * Applies the edits that are due and returns the visible instances.
	 * @return the instances in the order of their names
	 */
	public synchronized List<InstanceMessages.Item> list() {
		long nowNanos = this.clock.nanos();
		while (!this.pendingEdits.isEmpty() && nowNanos - this.pendingEdits.peek().dueNanos >= 0) {
			this.pendingEdits.remove().action.run();
		}
		return List.copyOf(this.visible.values());
	}

	private record Edit(long dueNanos, Runnable action) {

	}

}
