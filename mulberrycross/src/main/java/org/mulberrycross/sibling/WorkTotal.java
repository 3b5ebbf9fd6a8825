package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * The work of several daemons together at each engine. Immutable and thread-safe.
 *
 * @param daemons the number of daemons whose reports are in the sums
 * @param age the age of the oldest of these reports, not null
 * @param period the time after which the next report is due, not null
 * @param work the work by engine id, without engines that have none
 */
public record WorkTotal(int daemons, Duration age, Duration period, Map<String, ReportedWork> work) {

	/**
	 * Creates a total.
	 * @param daemons the number of daemons
	 * @param age the age of the oldest report, not null
	 * @param period the time after which the next report is due, not null
	 * @param work the work by engine id, not null
	 */
	public WorkTotal {
		Objects.requireNonNull(age, "age");
		Objects.requireNonNull(period, "period");
		work = Map.copyOf(work);
	}

	/**
	 * Adds the work of further daemons.
	 * @param other the work to add, not null
	 * @return the sums, with the larger age and the period of this total
	 */
	public WorkTotal plus(WorkTotal other) {
		Map<String, ReportedWork> sums = new HashMap<>(this.work);
		other.work.forEach((id, added) -> sums.merge(id, added, ReportedWork::plus));
		Duration oldest = (this.age.compareTo(other.age) > 0) ? this.age : other.age;
		return new WorkTotal(this.daemons + other.daemons, oldest, this.period, sums);
	}

	/**
	 * Subtracts the share of one daemon.
	 * @param share the work of the daemon as in the report that was added, not null
	 * @return the work of the others
	 */
	public WorkTotal minus(Map<String, ReportedWork> share) {
		Map<String, ReportedWork> rest = new HashMap<>(this.work);
		share.forEach((id, own) -> rest.computeIfPresent(id, (key, sum) -> subtract(sum, own)));
		return new WorkTotal(this.daemons - 1, this.age, this.period, rest);
	}

	private static ReportedWork subtract(ReportedWork sum, ReportedWork own) {
		ReportedWork rest = sum.minus(own);
		return rest.equals(ReportedWork.NONE) ? null : rest;
	}

}
