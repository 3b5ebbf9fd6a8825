package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The newest report of each engine. Between reports of one origin the version decides,
 * and between origins the age, which every holder counts on its own clock. Not
 * thread-safe; owned by the control thread.
 *
 * @param <T> the type of the reports
 */
final class ReportTable<T extends EngineReport<T>> {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<String, Held<T>> held = new HashMap<>();

	private final long expiryNanos;

	private long sendCount;

	ReportTable(Duration expiry) {
		this.expiryNanos = expiry.toNanos();
	}

	boolean offer(T report, long nanos) {
		long observed = nanos - report.ageMillis() * NANOS_PER_MILLI;
		if (nanos - observed > this.expiryNanos) {
			return false;
		}
		Held<T> known = this.held.get(report.engine());
		if (known != null && !newer(report, observed, known)) {
			return false;
		}
		this.held.put(report.engine(), new Held<>(report, observed, 0));
		return true;
	}

	private boolean newer(T report, long observed, Held<T> known) {
		return report.origin().equals(known.report.origin()) ? report.version() > known.report.version()
				: observed - known.observedNanos > 0;
	}

	/**
	 * Returns the reports to send, those that were never sent first and then the one sent
	 * longest ago.
	 * @param nanos the time on the daemon's monotonic clock
	 * @return the reports with their present ages
	 */
	List<T> toSend(long nanos) {
		this.held.values().removeIf((entry) -> nanos - entry.observedNanos > this.expiryNanos);
		return this.held.values()
			.stream()
			.sorted(Comparator.comparingLong((Held<T> entry) -> entry.sentNumber)
				.thenComparing((entry) -> entry.report.engine()))
			.map((entry) -> entry.report.aged((nanos - entry.observedNanos) / NANOS_PER_MILLI))
			.toList();
	}

	void sent(T report) {
		this.held.computeIfPresent(report.engine(),
				(name, entry) -> new Held<>(entry.report, entry.observedNanos, ++this.sendCount));
	}

	private record Held<T>(T report, long observedNanos, long sentNumber) {

	}

}
