package org.mulberrycross.operator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Event counts behind the burn rates of all error budgets. Immutable and thread-safe.
 *
 * @param daemons the number of daemons whose counts are in the report
 * @param rows the rows, in a merged report ordered by scope and objective
 */
public record BurnReport(int daemons, List<BurnRow> rows) {

	/**
	 * Creates a report.
	 * @param daemons the number of daemons whose counts are in the report
	 * @param rows the rows, not null
	 */
	public BurnReport {
		rows = List.copyOf(rows);
	}

	/**
	 * Merges the reports of several daemons by adding their counts.
	 * @param reports the reports, not null
	 * @return the merged report, with rows ordered by scope and objective
	 */
	public static BurnReport merge(Collection<BurnReport> reports) {
		Map<String, BurnRow> sums = new TreeMap<>();
		int daemonCount = 0;
		for (BurnReport report : reports) {
			daemonCount += report.daemons();
			for (BurnRow row : report.rows()) {
				sums.merge(row.scope() + " " + row.objective().ordinal(), row, BurnRow::plus);
			}
		}
		return new BurnReport(daemonCount, new ArrayList<>(sums.values()));
	}

}
