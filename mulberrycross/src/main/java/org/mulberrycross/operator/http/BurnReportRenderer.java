package org.mulberrycross.operator.http;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

import org.mulberrycross.operator.BurnReport;
import org.mulberrycross.operator.BurnRow;
import org.mulberrycross.operator.BurnWindow;
import org.mulberrycross.operator.EventCount;

/**
 * Renders burn reports as a text table and as an HTML page. Thread-safe.
 */
public final class BurnReportRenderer {

	private static final String ROW_FORMAT = "%-28s %-16s %7s %9s %9s %9s %9s %12s %6s%n";

	private BurnReportRenderer() {
	}

	/**
	 * Renders a report as a table for a terminal.
	 * @param report the report, not null
	 * @return the table, with a heading and one line for each row
	 */
	public static String renderText(BurnReport report) {
		StringBuilder text = new StringBuilder();
		text.append("Burn rates over ").append(report.daemons()).append(" daemons\n");
		text.append(String.format(Locale.ROOT, ROW_FORMAT, "scope", "objective", "target", "5 min", "1 h", "30 min",
				"6 h", "bad in 6 h", "alert"));
		for (BurnRow row : report.rows()) {
			text.append(String.format(Locale.ROOT, ROW_FORMAT, row.scope(), row.objective().label(),
					row.objective().target(), formatRate(row, BurnWindow.FIVE_MINUTES),
					formatRate(row, BurnWindow.ONE_HOUR), formatRate(row, BurnWindow.THIRTY_MINUTES),
					formatRate(row, BurnWindow.SIX_HOURS), formatBadCount(row.count(BurnWindow.SIX_HOURS)),
					row.alert().name().toLowerCase(Locale.ROOT)));
		}
		return text.toString();
	}

	/**
	 * Renders a report as an HTML page.
	 * @param report the report, not null
	 * @return the page, a complete HTML document
	 */
	public static String renderHtml(BurnReport report) {
		String head = Arrays
			.asList("Scope", "Objective", "Target", "5 min", "1 h", "30 min", "6 h", "Bad in 6 h", "Alert")
			.stream()
			.map((title) -> "<th>" + title + "</th>")
			.collect(Collectors.joining());
		String body = report.rows().stream().map(BurnReportRenderer::renderHtmlRow).collect(Collectors.joining("\n"));
		return """
				<!DOCTYPE html>
				<html lang="en">
				<head>
				<meta charset="utf-8">
				<title>Service-level burn</title>
				<style>
				body { font-family: sans-serif; margin: 2em; }
				table { border-collapse: collapse; }
				th, td { border: 1px solid #bbb; padding: 0.3em 0.7em; text-align: right; }
				th:nth-child(-n+2), td:nth-child(-n+2) { text-align: left; }
				tr.fast { background: #f6c7c0; }
				tr.slow { background: #fbe9b7; }
				</style>
				</head>
				<body>
				<h1>Service-level burn</h1>
				<p>Totals over %d daemons. A burn rate of 1 exhausts the error budget exactly at the end of its period.
				Fast: at least %.1f over 5 min and 1 h. Slow: at least %.1f over 30 min and 6 h.</p>
				<table>
				<tr>%s</tr>
				%s
				</table>
				</body>
				</html>
				""".formatted(report.daemons(), BurnRow.FAST_BURN_RATE, BurnRow.SLOW_BURN_RATE, head, body);
	}

	private static String renderHtmlRow(BurnRow row) {
		String alert = row.alert().name().toLowerCase(Locale.ROOT);
		return "<tr class=\"" + alert + "\"><td>" + escapeHtml(row.scope()) + "</td><td>" + row.objective().label()
				+ "</td><td>" + row.objective().target() + "</td><td>" + formatRate(row, BurnWindow.FIVE_MINUTES)
				+ "</td><td>" + formatRate(row, BurnWindow.ONE_HOUR) + "</td><td>"
				+ formatRate(row, BurnWindow.THIRTY_MINUTES) + "</td><td>" + formatRate(row, BurnWindow.SIX_HOURS)
				+ "</td><td>" + formatBadCount(row.count(BurnWindow.SIX_HOURS)) + "</td><td>" + alert + "</td></tr>";
	}

	private static String formatRate(BurnRow row, BurnWindow window) {
		return String.format(Locale.ROOT, "%.2f", row.burnRate(window));
	}

	private static String formatBadCount(EventCount count) {
		return count.bad() + "/" + (count.good() + count.bad());
	}

	private static String escapeHtml(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
	}

}
