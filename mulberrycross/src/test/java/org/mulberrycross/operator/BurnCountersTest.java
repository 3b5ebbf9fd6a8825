package org.mulberrycross.operator;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the event counts of the burn report and the merge of several reports.
 */
class BurnCountersTest {

	private static final long NANOS_PER_MINUTE = 60_000_000_000L;

	private final BurnCounters counters = new BurnCounters();

	/**
	 * Fails if a window counts events that are too old, or drops events too early.
	 */
	@Test
	void windowsDropExpiredEvents() {
		this.counters.add(event("t", false), 0);
		assertThat(count(0, BurnWindow.FIVE_MINUTES)).isEqualTo(new EventCount(0, 1));
		assertThat(count(4 * NANOS_PER_MINUTE, BurnWindow.FIVE_MINUTES)).isEqualTo(new EventCount(0, 1));
		assertThat(count(5 * NANOS_PER_MINUTE, BurnWindow.FIVE_MINUTES)).isEqualTo(EventCount.ZERO);
		assertThat(count(59 * NANOS_PER_MINUTE, BurnWindow.ONE_HOUR)).isEqualTo(new EventCount(0, 1));
		assertThat(count(360 * NANOS_PER_MINUTE, BurnWindow.SIX_HOURS)).isEqualTo(EventCount.ZERO);
	}

	/** Fails if counts remain after more than six hours without events. */
	@Test
	void longIdlePeriodClearsAllCounts() {
		this.counters.add(event("t", false), 7 * NANOS_PER_MINUTE);
		assertThat(count(10_000 * NANOS_PER_MINUTE, BurnWindow.SIX_HOURS)).isEqualTo(EventCount.ZERO);
	}

	/** Fails if the merge averages burn rates instead of adding event counts. */
	@Test
	void mergeAddsCounts() {
		BurnCounters other = new BurnCounters();
		for (int i = 0; i < 99; i++) {
			this.counters.add(event("t", true), 0);
		}
		other.add(event("t", false), 0);
		BurnReport merged = BurnReport.merge(List.of(this.counters.report(0), other.report(0)));
		BurnRow row = findRow(merged, "pipeline/p", Objective.SUCCESS).orElseThrow();
		assertThat(merged.daemons()).isEqualTo(2);
		assertThat(row.count(BurnWindow.FIVE_MINUTES)).isEqualTo(new EventCount(99, 1));
		assertThat(row.burnRate(BurnWindow.FIVE_MINUTES)).isWithin(1e-9).of(10);
		assertThat(row.alert()).isEqualTo(BurnRow.Alert.SLOW);
	}

	/**
	 * Fails if the number of team rows is unbounded, or the events of teams beyond the
	 * limit are lost.
	 */
	@Test
	void teamsBeyondLimitShareOneRow() {
		for (int i = 0; i < 600; i++) {
			this.counters.add(event("team-" + i, true), 0);
		}
		BurnReport report = this.counters.report(0);
		long teamRows = report.rows().stream().filter((row) -> row.scope().startsWith("team/")).count();
		assertThat(teamRows).isAtMost(4 * 501);
		assertThat(findRow(report, BurnCounters.OTHER_TEAMS, Objective.SUCCESS).orElseThrow()
			.count(BurnWindow.FIVE_MINUTES)).isEqualTo(new EventCount(100, 0));
	}

	private EventCount count(long nowNanos, BurnWindow window) {
		return findRow(this.counters.report(nowNanos), "team/t", Objective.SUCCESS).orElseThrow().count(window);
	}

	private static Optional<BurnRow> findRow(BurnReport report, String scope, Objective objective) {
		return report.rows()
			.stream()
			.filter((row) -> row.scope().equals(scope) && row.objective() == objective)
			.findFirst();
	}

	private static ServiceLevelEvent event(String team, boolean succeeded) {
		return new ServiceLevelEvent("p", team, true, true, 3, 0, succeeded);
	}

}
