package org.mulberrycross.operator;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;

/**
 * Event counts by window for one objective of a pipeline or a team. Immutable and
 * thread-safe.
 *
 * @param scope the pipeline or team, {@code pipeline/NAME} or {@code team/NAME}
 * @param objective the objective
 * @param counts the counts by window
 */
public record BurnRow(String scope, Objective objective, Map<BurnWindow, EventCount> counts) {

	/** Burn rate that exhausts an error budget of 30 days in about two days. */
	public static final double FAST_BURN_RATE = 14.4;

	/** Burn rate that exhausts an error budget of 30 days in five days. */
	public static final double SLOW_BURN_RATE = 6;

	/**
	 * Creates a row.
	 * @param scope the pipeline or team, not null
	 * @param objective the objective, not null
	 * @param counts the counts by window, not null
	 */
	public BurnRow {
		Objects.requireNonNull(scope, "scope");
		Objects.requireNonNull(objective, "objective");
		counts = Map.copyOf(counts);
	}

	/**
	 * Returns the event count of a window.
	 * @param window the window, not null
	 * @return the count, {@link EventCount#ZERO} if the row has none for the window
	 */
	public EventCount count(BurnWindow window) {
		return this.counts.getOrDefault(window, EventCount.ZERO);
	}

	/**
	 * Returns the burn rate of the error budget over a window.
	 * @param window the window, not null
	 * @return the burn rate, 0 or more; 1 exhausts the budget exactly at the end of the
	 * budget period
	 */
	public double burnRate(BurnWindow window) {
		return count(window).burnRate(this.objective);
	}

	/**
	 * Returns the alert that the burn rates of the row raise. Both windows of a pair must
	 * reach the threshold, so that neither a short peak nor a fault that has ended raises
	 * an alert.
	 * @return the alert, not null
	 */
	public Alert alert() {
		if (isReachedInBothWindows(FAST_BURN_RATE, BurnWindow.FIVE_MINUTES, BurnWindow.ONE_HOUR)) {
			return Alert.FAST;
		}
		return isReachedInBothWindows(SLOW_BURN_RATE, BurnWindow.THIRTY_MINUTES, BurnWindow.SIX_HOURS) ? Alert.SLOW
				: Alert.NONE;
	}

	private boolean isReachedInBothWindows(double threshold, BurnWindow shortWindow, BurnWindow longWindow) {
		return burnRate(shortWindow) >= threshold && burnRate(longWindow) >= threshold;
	}

	/**
	 * Adds the counts of the same row of another daemon.
	 * @param other a row of the same scope and objective, not null
	 * @return a row with the summed counts of each window
	 */
	public BurnRow plus(BurnRow other) {
		Map<BurnWindow, EventCount> sums = new EnumMap<>(BurnWindow.class);
		for (BurnWindow window : BurnWindow.values()) {
			sums.put(window, count(window).plus(other.count(window)));
		}
		return new BurnRow(this.scope, this.objective, sums);
	}

	/**
	 * Alert levels of an error budget.
	 */
	public enum Alert {

		/** No threshold is reached in both of its windows. */
		NONE,

		/** {@link BurnRow#SLOW_BURN_RATE} is reached in both of its windows. */
		SLOW,

		/** {@link BurnRow#FAST_BURN_RATE} is reached in both of its windows. */
		FAST

	}

}
