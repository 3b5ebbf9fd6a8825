package org.mulberrycross.operator;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the counts behind the burn report and their merge over daemons.
 */
class BurnCountersTest {

	private static final long MINUTE = 60_000_000_000L;

	private final BurnCounters counters = new BurnCounters();

	/** Fails if events stay in a window after it has passed, or leave it early. */
	@Test
	void windowsForgetOldEvents() {
		this.counters.add(event("t", false), 0);
		assertThat(count(0, BurnWindow.FIVE_MINUTES)).isEqualTo(new EventCount(0, 1));
		assertThat(count(4 * MINUTE, BurnWindow.FIVE_MINUTES)).isEqualTo(new EventCount(0, 1));
		assertThat(count(5 * MINUTE, BurnWindow.FIVE_MINUTES)).isEqualTo(EventCount.ZERO);
		assertThat(count(59 * MINUTE, BurnWindow.ONE_HOUR)).isEqualTo(new EventCount(0, 1));
		assertThat(count(360 * MINUTE, BurnWindow.SIX_HOURS)).isEqualTo(EventCount.ZERO);
	}

	/** Fails if a quiet time of more than six hours leaves old counts behind. */
	@Test
	void longQuietTimeClearsEverything() {
		this.counters.add(event("t", false), 7 * MINUTE);
		assertThat(count(10_000 * MINUTE, BurnWindow.SIX_HOURS)).isEqualTo(EventCount.ZERO);
	}

	/** Fails if merged reports average rates in place of adding counts. */
	@Test
	void mergeAddsCounts() {
		BurnCounters other = new BurnCounters();
		for (int i = 0; i < 99; i++) {
			this.counters.add(event("t", true), 0);
		}
		other.add(event("t", false), 0);
		BurnReport merged = BurnReport.merge(List.of(this.counters.report(0), other.report(0)));
		BurnRow row = row(merged, "pipeline/p", Objective.SUCCESS).orElseThrow();
		assertThat(merged.daemons()).isEqualTo(2);
		assertThat(row.count(BurnWindow.FIVE_MINUTES)).isEqualTo(new EventCount(99, 1));
		assertThat(row.burnRate(BurnWindow.FIVE_MINUTES)).isWithin(1e-9).of(10);
		assertThat(row.alert()).isEqualTo(BurnRow.Alert.SLOW);
	}

	/**
	 * Fails if the number of teams is unbounded, or events of teams over the limit are
	 * lost.
	 */
	@Test
	void teamsBeyondLimitShareOneRow() {
		for (int i = 0; i < 600; i++) {
			this.counters.add(event("team-" + i, true), 0);
		}
		BurnReport report = this.counters.report(0);
		long teams = report.rows().stream().filter((row) -> row.scope().startsWith("team/")).count();
		assertThat(teams).isAtMost(4 * 501);
		assertThat(
				row(report, BurnCounters.OTHER_TEAMS, Objective.SUCCESS).orElseThrow().count(BurnWindow.FIVE_MINUTES))
			.isEqualTo(new EventCount(100, 0));
	}

	private EventCount count(long now, BurnWindow window) {
		return row(this.counters.report(now), "team/t", Objective.SUCCESS).orElseThrow().count(window);
	}

	private static Optional<BurnRow> row(BurnReport report, String scope, Objective objective) {
		return report.rows()
			.stream()
			.filter((row) -> row.scope().equals(scope) && row.objective() == objective)
			.findFirst();
	}

	private static ServiceLevelEvent event(String team, boolean succeeded) {
		return new ServiceLevelEvent("p", team, true, true, 3, 0, succeeded);
	}

}
