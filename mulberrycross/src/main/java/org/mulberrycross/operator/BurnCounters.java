package org.mulberrycross.operator;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the good and bad events of one daemon for each pipeline and each team, in slots
 * of one minute. Teams beyond a maximum number share one row, which bounds the memory; a
 * row takes about 12 KB. Not thread-safe; owned by the control thread.
 */
public final class BurnCounters {

	/** Scope of the row that teams without a row of their own share. */
	public static final String OTHER_TEAMS = "team/(other)";

	/** 500 rows of about 12 KB take about 6 MB of the 64 MB for control state. */
	private static final int MAX_TEAM_ROWS = 500;

	private static final long NANOS_PER_MINUTE = 60_000_000_000L;

	private final Map<String, Map<Objective, MinuteRing>> ringsByScope = new HashMap<>();

	private int teamRowCount;

	/**
	 * Adds the events of one request to the rows of its pipeline and its team.
	 * @param event the contribution of the request, not null
	 * @param nowNanos the time on the daemon's monotonic clock
	 */
	public void add(ServiceLevelEvent event, long nowNanos) {
		long minute = Math.floorDiv(nowNanos, NANOS_PER_MINUTE);
		add("pipeline/" + event.pipeline(), event, minute);
		add(assignTeamScope(event.team()), event, minute);
	}

	private String assignTeamScope(String team) {
		String scope = "team/" + team;
		if (this.ringsByScope.containsKey(scope)) {
			return scope;
		}
		if (this.teamRowCount >= MAX_TEAM_ROWS) {
			return OTHER_TEAMS;
		}
		this.teamRowCount++;
		return scope;
	}

	private void add(String scope, ServiceLevelEvent event, long minute) {
		Map<Objective, MinuteRing> ringsByObjective = this.ringsByScope.computeIfAbsent(scope,
				(key) -> new EnumMap<>(Objective.class));
		addEvents(ringsByObjective, Objective.SUCCESS, minute, event.succeeded() ? 1 : 0, event.succeeded() ? 0 : 1);
		if (!event.started()) {
			return;
		}
		addEvents(ringsByObjective, Objective.FIRST_TOKEN, minute, event.firstTokenInTime() ? 1 : 0,
				event.firstTokenInTime() ? 0 : 1);
		addEvents(ringsByObjective, Objective.BETWEEN_TOKENS, minute, event.tokensInTime(), event.tokensLate());
		addEvents(ringsByObjective, Objective.WHOLE, minute, event.succeeded() ? 1 : 0, event.succeeded() ? 0 : 1);
	}

	private static void addEvents(Map<Objective, MinuteRing> ringsByObjective, Objective objective, long minute,
			int good, int bad) {
		ringsByObjective.computeIfAbsent(objective, (key) -> new MinuteRing(BurnWindow.SIX_HOURS.minutes()))
			.add(minute, good, bad);
	}

	/**
	 * Returns the counts of all windows up to the current minute.
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return the report of this daemon
	 */
	public BurnReport report(long nowNanos) {
		long minute = Math.floorDiv(nowNanos, NANOS_PER_MINUTE);
		List<BurnRow> rows = new ArrayList<>();
		this.ringsByScope.forEach((scope, ringsByObjective) -> ringsByObjective
			.forEach((objective, ring) -> rows.add(new BurnRow(scope, objective, sumByWindow(ring, minute)))));
		return new BurnReport(1, rows);
	}

	private static Map<BurnWindow, EventCount> sumByWindow(MinuteRing ring, long minute) {
		Map<BurnWindow, EventCount> counts = new EnumMap<>(BurnWindow.class);
		for (BurnWindow window : BurnWindow.values()) {
			counts.put(window, ring.sum(minute, window.minutes()));
		}
		return counts;
	}

}
