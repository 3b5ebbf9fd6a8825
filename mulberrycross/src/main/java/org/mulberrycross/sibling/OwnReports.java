package org.mulberrycross.sibling;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The last reports of this daemon, so that it can subtract from sums exactly the report
 * that they contain, also if replies to later ones were lost. Not thread-safe.
 */
public final class OwnReports {

	/**
	 * Number of reports that are remembered, more than a hub can hold a report for.
	 */
	static final int MAX_REMEMBERED = 2 * WorkLedger.EXPIRY_PERIODS + 2;

	private final Sibling self;

	private final Map<Long, WorkReport> reports = new LinkedHashMap<>();

	private long sequence;

	/**
	 * Creates a state without reports.
	 * @param self the description of this daemon, not null
	 */
	public OwnReports(Sibling self) {
		this.self = Objects.requireNonNull(self, "self");
	}

	/**
	 * Creates the next report.
	 * @param work the current work of this daemon by engine id, not null; at most
	 * {@link WorkReport#MAX_ENGINES} engines
	 * @return the report
	 */
	public WorkReport next(Map<String, ReportedWork> work) {
		this.sequence++;
		WorkReport report = new WorkReport(this.self.name(), this.self.incarnation(), this.sequence, work);
		this.reports.put(this.sequence, report);
		this.reports.remove(this.sequence - MAX_REMEMBERED);
		return report;
	}

	/**
	 * Returns the work of the other daemons.
	 * @param reply the reply of a hub, not null
	 * @return the work, or empty if the share of this daemon in it is not known
	 */
	public Optional<WorkTotal> others(WorkClient.Reply reply) {
		if (reply.ownSequence().isEmpty()) {
			return Optional.of(reply.total());
		}
		WorkReport own = this.reports.get(reply.ownSequence().getAsLong());
		return Optional.ofNullable(own).map((report) -> reply.total().minus(report.work()));
	}

}
