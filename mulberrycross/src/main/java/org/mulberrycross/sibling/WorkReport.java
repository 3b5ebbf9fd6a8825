package org.mulberrycross.sibling;

import java.util.Map;
import java.util.Objects;

/**
 * The work of one daemon at each engine. Immutable and thread-safe.
 *
 * @param sender the name of the daemon, not null
 * @param incarnation the time at which the daemon started, in milliseconds since 1970
 * @param sequence a number that the daemon increments with every report
 * @param work the work by engine id; engines without work are left out
 */
public record WorkReport(String sender, long incarnation, long sequence, Map<String, ReportedWork> work) {

	/** Maximum number of engines in a message. */
	public static final int MAX_ENGINES = 2048;

	/**
	 * Creates a report.
	 * @param sender the name of the daemon, not null
	 * @param incarnation the time at which the daemon started
	 * @param sequence the number of the report
	 * @param work the work by engine id, not null; at most {@link #MAX_ENGINES} engines
	 */
	public WorkReport {
		Objects.requireNonNull(sender, "sender");
		work = Map.copyOf(work);
		if (work.size() > MAX_ENGINES) {
			throw new IllegalArgumentException("report has " + work.size() + " engines, limit " + MAX_ENGINES);
		}
	}

}
