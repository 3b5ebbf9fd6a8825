package org.mulberrycross.operator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Burn of all error budgets. Immutable and thread-safe.
 *
 * @param daemons the number of daemons whose counts are in the report
 * @param rows the rows, ordered by scope and objective
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
	 * @return the report over all daemons
	 */
	public static BurnReport merge(Collection<BurnReport> reports) {
		Map<String, BurnRow> sums = new TreeMap<>();
		int count = 0;
		for (BurnReport report : reports) {
			count += report.daemons();
			for (BurnRow row : report.rows()) {
				sums.merge(row.scope() + " " + row.objective().ordinal(), row, BurnRow::plus);
			}
		}
		return new BurnReport(count, new ArrayList<>(sums.values()));
	}

}
