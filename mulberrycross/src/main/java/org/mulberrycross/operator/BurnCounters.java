package org.mulberrycross.operator;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the good and bad events of one daemon by pipeline and by team, in slots of a
 * minute. Counts of teams beyond a limit go to one common row, which bounds the memory at
 * about 12 KB for each of them. Not thread-safe; owned by the control thread.
 */
public final class BurnCounters {

	/** Name of the row for teams that have no row of their own. */
	public static final String OTHER_TEAMS = "team/(other)";

	/** At 500 teams the counters take about 6 MB of the 64 MB for control. */
	private static final int MAX_TEAMS = 500;

	private static final long NANOS_PER_MINUTE = 60_000_000_000L;

	private final Map<String, Map<Objective, MinuteRing>> rings = new HashMap<>();

	private int teams;

	/**
	 * Adds the events of a request.
	 * @param event the events, not null
	 * @param now the time on the daemon's monotonic clock
	 */
	public void add(ServiceLevelEvent event, long now) {
		long minute = Math.floorDiv(now, NANOS_PER_MINUTE);
		add("pipeline/" + event.pipeline(), event, minute);
		add(teamScope(event.team()), event, minute);
	}

	private String teamScope(String team) {
		String scope = "team/" + team;
		if (this.rings.containsKey(scope)) {
			return scope;
		}
		if (this.teams >= MAX_TEAMS) {
			return OTHER_TEAMS;
		}
		this.teams++;
		return scope;
	}

	private void add(String scope, ServiceLevelEvent event, long minute) {
		Map<Objective, MinuteRing> byObjective = this.rings.computeIfAbsent(scope,
				(created) -> new EnumMap<>(Objective.class));
		count(byObjective, Objective.SUCCESS, minute, event.succeeded() ? 1 : 0, event.succeeded() ? 0 : 1);
		if (!event.started()) {
			return;
		}
		count(byObjective, Objective.FIRST_TOKEN, minute, event.firstTokenInTime() ? 1 : 0,
				event.firstTokenInTime() ? 0 : 1);
		count(byObjective, Objective.BETWEEN_TOKENS, minute, event.tokensInTime(), event.tokensLate());
		count(byObjective, Objective.WHOLE, minute, event.succeeded() ? 1 : 0, event.succeeded() ? 0 : 1);
	}

	private static void count(Map<Objective, MinuteRing> byObjective, Objective objective, long minute, int good,
			int bad) {
		byObjective.computeIfAbsent(objective, (created) -> new MinuteRing(BurnWindow.SIX_HOURS.minutes()))
			.add(minute, good, bad);
	}

	/**
	 * Returns the counts as they are now.
	 * @param now the time on the daemon's monotonic clock
	 * @return the report of this daemon
	 */
	public BurnReport report(long now) {
		long minute = Math.floorDiv(now, NANOS_PER_MINUTE);
		List<BurnRow> rows = new ArrayList<>();
		this.rings.forEach((scope, byObjective) -> byObjective
			.forEach((objective, ring) -> rows.add(new BurnRow(scope, objective, counts(ring, minute)))));
		return new BurnReport(1, rows);
	}

	private static Map<BurnWindow, EventCount> counts(MinuteRing ring, long minute) {
		Map<BurnWindow, EventCount> counts = new EnumMap<>(BurnWindow.class);
		for (BurnWindow window : BurnWindow.values()) {
			counts.put(window, ring.sum(minute, window.minutes()));
		}
		return counts;
	}

}
