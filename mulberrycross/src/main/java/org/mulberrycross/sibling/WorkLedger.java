package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The reports that a daemon has received from the daemons of its data centre, its own
 * report, and the totals of other data centres. What is not renewed expires, so that the
 * share of a daemon that is dead, paused or cut off ages out. The total for other data
 * centres contains the reports of the own one only, so that nothing is counted twice.
 * Thread-safe.
 */
public final class WorkLedger {

	/** Number of periods after which a report or a total that is not renewed expires. */
	public static final int EXPIRY_PERIODS = 3;

	private final Map<String, Received> reports = new HashMap<>();

	private final Map<String, Remote> totals = new HashMap<>();

	private Duration period = ExchangeBudget.MIN_PERIOD;

	/**
	 * Records the report of a daemon of this data centre, or that of this daemon itself.
	 * @param report the report, not null
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return false if a newer report of the daemon is known
	 */
	public synchronized boolean record(WorkReport report, long nowNanos) {
		removeExpired(nowNanos);
		Received last = this.reports.get(report.sender());
		if (last != null && !isNewer(report, last.report())) {
			return false;
		}
		this.reports.put(report.sender(), new Received(report, nowNanos, this.period));
		return true;
	}

	private static boolean isNewer(WorkReport report, WorkReport last) {
		return (report.incarnation() != last.incarnation()) ? report.incarnation() > last.incarnation()
				: report.sequence() > last.sequence();
	}

	/**
	 * Records the total of another data centre.
	 * @param dataCentre the data centre, not null
	 * @param total the sums of the reports there, not null
	 * @param nowNanos the time on the daemon's monotonic clock
	 */
	public synchronized void recordTotal(String dataCentre, WorkTotal total, long nowNanos) {
		this.totals.put(dataCentre, new Remote(total, nowNanos, this.period));
	}

	/**
	 * Returns the number of daemons of this data centre whose reports have not expired.
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return the number, including this daemon once it has reported
	 */
	public synchronized int reportCount(long nowNanos) {
		removeExpired(nowNanos);
		return this.reports.size();
	}

	/**
	 * Changes the period of the reports, on which their expiry depends.
	 * @param newPeriod the time between two reports of a daemon, not null
	 */
	public synchronized void updatePeriod(Duration newPeriod) {
		this.period = newPeriod;
	}

	/**
	 * Adds up the reports of this data centre.
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return the sums, and which report of each daemon they contain
	 */
	public synchronized Summed local(long nowNanos) {
		removeExpired(nowNanos);
		Map<String, ReportedWork> sums = new HashMap<>();
		Map<String, Included> included = new HashMap<>();
		long oldestNanos = nowNanos;
		for (Received received : this.reports.values()) {
			WorkReport report = received.report();
			report.work().forEach((id, work) -> sums.merge(id, work, ReportedWork::plus));
			included.put(report.sender(), new Included(report.incarnation(), report.sequence()));
			oldestNanos = Math.min(oldestNanos, received.nanos());
		}
		return new Summed(new WorkTotal(included.size(), Duration.ofNanos(nowNanos - oldestNanos), this.period, sums),
				included);
	}

	/**
	 * Adds up the reports of this data centre and the totals of the others.
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return the sums, and which report of each daemon of this data centre they contain
	 */
	public synchronized Summed fleet(long nowNanos) {
		Summed local = local(nowNanos);
		WorkTotal sum = local.total();
		for (Remote remote : this.totals.values()) {
			WorkTotal total = remote.total();
			Duration age = total.age().plusNanos(nowNanos - remote.nanos());
			sum = sum.plus(new WorkTotal(total.daemons(), age, total.period(), total.work()));
		}
		return new Summed(sum, local.included());
	}

	private void removeExpired(long nowNanos) {
		this.reports.values().removeIf((received) -> isExpired(received.nanos(), received.period(), nowNanos));
		this.totals.values().removeIf((remote) -> isExpired(remote.nanos(), remote.period(), nowNanos));
	}

	private static boolean isExpired(long receivedNanos, Duration periodThen, long nowNanos) {
		return nowNanos - receivedNanos > EXPIRY_PERIODS * periodThen.toNanos();
	}

	/** A report, the time of its receipt and the period that its sender kept to. */
	private record Received(WorkReport report, long nanos, Duration period) {

	}

	/** A total of another data centre, the time of its receipt and the period then. */
	private record Remote(WorkTotal total, long nanos, Duration period) {

	}

	/** The report of a daemon that is contained in sums. */
	record Included(long incarnation, long sequence) {

	}

	/**
	 * Sums with the reports that they contain. Immutable and thread-safe.
	 *
	 * @param total the sums
	 * @param included the contained reports by the name of the daemon
	 */
	public record Summed(WorkTotal total, Map<String, Included> included) {

		/**
		 * Returns the sequence number of the report of a daemon in these sums.
		 * @param sender the name of the daemon
		 * @param incarnation the time at which the daemon started
		 * @return the number, or empty if no report of this incarnation is contained
		 */
		public OptionalLong sequence(String sender, long incarnation) {
			Included report = this.included.get(sender);
			return (report != null && report.incarnation() == incarnation) ? OptionalLong.of(report.sequence())
					: OptionalLong.empty();
		}

	}

}
