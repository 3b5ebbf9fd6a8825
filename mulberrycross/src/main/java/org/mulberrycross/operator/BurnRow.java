package org.mulberrycross.operator;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;

/**
 * Counts of one objective for one pipeline or team, by window. Immutable and thread-safe.
 *
 * @param scope what the row is about, {@code pipeline/NAME} or {@code team/NAME}
 * @param objective the objective
 * @param counts the counts by window
 */
public record BurnRow(String scope, Objective objective, Map<BurnWindow, EventCount> counts) {

	/** Burn rate at which a budget of 30 days is gone in two days. */
	public static final double FAST_BURN = 14.4;

	/** Burn rate at which a budget of 30 days is gone in five days. */
	public static final double SLOW_BURN = 6;

	/**
	 * Creates a row.
	 * @param scope what the row is about, not null
	 * @param objective the objective, not null
	 * @param counts the counts by window, not null
	 */
	public BurnRow {
		Objects.requireNonNull(scope, "scope");
		Objects.requireNonNull(objective, "objective");
		counts = Map.copyOf(counts);
	}

	/**
	 * Returns the count of a window.
	 * @param window the window, not null
	 * @return the count, zero if there were no events
	 */
	public EventCount count(BurnWindow window) {
		return this.counts.getOrDefault(window, EventCount.ZERO);
	}

	/**
	 * Returns how fast the error budget is used up in a window.
	 * @param window the window, not null
	 * @return the rate, 0 or more
	 */
	public double burnRate(BurnWindow window) {
		return count(window).burnRate(this.objective);
	}

	/**
	 * Returns the alert that the row calls for. Both windows of a pair must burn, so that
	 * neither a short peak nor a fault that has ended raises it.
	 * @return the alert, not null
	 */
	public Alert alert() {
		if (burns(FAST_BURN, BurnWindow.FIVE_MINUTES, BurnWindow.ONE_HOUR)) {
			return Alert.FAST;
		}
		return burns(SLOW_BURN, BurnWindow.THIRTY_MINUTES, BurnWindow.SIX_HOURS) ? Alert.SLOW : Alert.NONE;
	}

	private boolean burns(double rate, BurnWindow shorter, BurnWindow longer) {
		return burnRate(shorter) >= rate && burnRate(longer) >= rate;
	}

	/**
	 * Returns the sum of this row and one of another daemon.
	 * @param other a row of the same scope and objective, not null
	 * @return the sum
	 */
	public BurnRow plus(BurnRow other) {
		Map<BurnWindow, EventCount> sums = new EnumMap<>(BurnWindow.class);
		for (BurnWindow window : BurnWindow.values()) {
			sums.put(window, count(window).plus(other.count(window)));
		}
		return new BurnRow(this.scope, this.objective, sums);
	}

	/**
	 * Alerts on error budgets.
	 */
	public enum Alert {

		/** The budget lasts. */
		NONE,

		/** The budget burns slowly. */
		SLOW,

		/** The budget burns fast. */
		FAST

	}

}
