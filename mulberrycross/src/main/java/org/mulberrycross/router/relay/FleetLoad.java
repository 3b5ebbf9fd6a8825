package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.mulberrycross.engine.EngineWork;
import org.mulberrycross.engine.OutstandingWork;
import org.mulberrycross.sibling.ReportedWork;
import org.mulberrycross.sibling.WorkLedger;
import org.mulberrycross.sibling.WorkReport;
import org.mulberrycross.sibling.WorkTotal;

/**
 * Work of all daemons at an engine. Combines the last known work of the others and the
 * estimate from the own work, that is, its multiple by the number of daemons. The older
 * the figures of others are, the more the estimate counts; a daemon that hears nobody
 * uses it alone. What daemons that are not heard of have running is taken for like that
 * of those that are. Confined to the control thread; not thread-safe.
 */
final class FleetLoad implements OutstandingWork {

	/**
	 * Figures replace those in use if they cover at least this fraction of their daemons.
	 */
	private static final int MIN_COVERAGE_DIVISOR = 2;

	/**
	 * Time after which the weight of figures of others has fallen to 1/e, since other
	 * work has taken the place of most that they count. All daemons see the same figures,
	 * and would send to the same engines by old ones.
	 */
	static final Duration WORK_LIFETIME = Duration.ofSeconds(1);

	private int daemonCount;

	private Optional<Others> others = Optional.empty();

	// Creates a state that knows nothing of the other daemons.
	FleetLoad(int daemonCount) {
		this.daemonCount = daemonCount;
	}

	// Updates the number of daemons.
	void updateDaemonCount(int count) {
		this.daemonCount = count;
	}

	// Updates the work of the other daemons. It is used for as many periods as a report.
	// Figures that cover far fewer daemons than those in use, such as the first ones of a
	// new hub, do not replace them before.
	void update(WorkTotal total, long nowNanos) {
		int known = coveredDaemons(nowNanos) - 1;
		if (total.daemons() * MIN_COVERAGE_DIVISOR >= known) {
			this.others = Optional.of(new Others(total, nowNanos));
		}
	}

	// Returns the number of daemons whose figures are used, including this one.
	int coveredDaemons(long nowNanos) {
		return 1 + current(nowNanos).map((known) -> Math.max(0, known.total().daemons())).orElse(0);
	}

	// Returns the age of the figures of others that are used.
	Optional<Duration> age(long nowNanos) {
		return current(nowNanos).map((known) -> known.age(nowNanos));
	}

	private Optional<Others> current(long nowNanos) {
		return this.others.filter((known) -> nowNanos - known.receivedNanos() <= WorkLedger.EXPIRY_PERIODS
				* known.total().period().toNanos());
	}

	@Override
	public EngineWork at(String engineId, EngineWork own, long nowNanos) {
		EngineWork estimate = own.times(this.daemonCount);
		return current(nowNanos).map((used) -> combine(engineId, own, estimate, used, nowNanos)).orElse(estimate);
	}

	private EngineWork combine(String engineId, EngineWork own, EngineWork estimate, Others used, long nowNanos) {
		EngineWork heard = own.plus(toEngineWork(used.total().work().getOrDefault(engineId, ReportedWork.NONE)));
		double scale = Math.max(1, (double) this.daemonCount / (1 + used.total().daemons()));
		double ageNanos = used.age(nowNanos).toNanos();
		double weight = Math.exp(-ageNanos / WORK_LIFETIME.toNanos());
		return heard.times(scale * weight).plus(estimate.times(1 - weight));
	}

	// Returns the work of this daemon as it is reported, for at most as many engines as a
	// report may contain, those with the most requests first.
	static Map<String, ReportedWork> toReport(Map<String, EngineWork> work) {
		return work.entrySet()
			.stream()
			.sorted((first, second) -> Double.compare(second.getValue().requests(), first.getValue().requests()))
			.limit(WorkReport.MAX_ENGINES)
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> toReportedWork(entry.getValue())));
	}

	private static ReportedWork toReportedWork(EngineWork work) {
		return new ReportedWork(Math.round(work.requests()), units(work.tokens()), units(work.pendingPromptTokens()));
	}

	private static long units(double tokens) {
		return Math.round(tokens / ReportedWork.TOKENS_PER_UNIT);
	}

	private static EngineWork toEngineWork(ReportedWork work) {
		return new EngineWork(work.requests(), (double) ReportedWork.TOKENS_PER_UNIT * work.tokenUnits(),
				(double) ReportedWork.TOKENS_PER_UNIT * work.pendingUnits());
	}

	/** Work of other daemons, and when it was received. */
	private record Others(WorkTotal total, long receivedNanos) {

		private Duration age(long nowNanos) {
			return this.total.age().plusNanos(nowNanos - this.receivedNanos);
		}

	}

}
