package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the newest report of each engine. Reports of one origin are compared by version,
 * and those of different origins by age, which each daemon measures on its own clock. Not
 * thread-safe; confined to the control thread.
 *
 * @param <T> the type of the reports
 */
final class ReportTable<T extends EngineReport<T>> {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<String, Entry<T>> entries = new HashMap<>();

	private final long expiryNanos;

	private long sendSequence;

	ReportTable(Duration expiry) {
		this.expiryNanos = expiry.toNanos();
	}

	/**
	 * Adds a report unless it is expired or not newer than the present one.
	 * @param report the report, not null
	 * @param nanos the time on the daemon's monotonic clock
	 * @return true if the report was added
	 */
	boolean putIfNewer(T report, long nanos) {
		long observedNanos = nanos - report.ageMillis() * NANOS_PER_MILLI;
		if (nanos - observedNanos > this.expiryNanos) {
			return false;
		}
		Entry<T> current = this.entries.get(report.engine());
		if (current != null && !isNewer(report, observedNanos, current)) {
			return false;
		}
		this.entries.put(report.engine(), new Entry<>(report, observedNanos, 0));
		return true;
	}

	private boolean isNewer(T report, long observedNanos, Entry<T> current) {
		return report.origin().equals(current.report.origin()) ? report.version() > current.report.version()
				: observedNanos - current.observedNanos > 0;
	}

	/**
	 * Removes expired reports and returns the others: first those that were never sent,
	 * then the least recently sent ones.
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the reports with their present ages
	 */
	List<T> leastRecentlySent(long nanos) {
		this.entries.values().removeIf((entry) -> nanos - entry.observedNanos > this.expiryNanos);
		return this.entries.values()
			.stream()
			.sorted(Comparator.comparingLong((Entry<T> entry) -> entry.lastSentSequence)
				.thenComparing((entry) -> entry.report.engine()))
			.map((entry) -> entry.report.withAge((nanos - entry.observedNanos) / NANOS_PER_MILLI))
			.toList();
	}

	void markSent(T report) {
		this.entries.computeIfPresent(report.engine(),
				(name, entry) -> new Entry<>(entry.report, entry.observedNanos, ++this.sendSequence));
	}

	private record Entry<T>(T report, long observedNanos, long lastSentSequence) {

	}

}
