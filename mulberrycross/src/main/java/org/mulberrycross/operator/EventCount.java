package org.mulberrycross.operator;

/**
 * Numbers of good and bad events. Immutable and thread-safe.
 *
 * @param good the number of good events
 * @param bad the number of bad events
 */
public record EventCount(long good, long bad) {

	/** No events. */
	public static final EventCount ZERO = new EventCount(0, 0);

	/**
	 * Returns the sum of two counts.
	 * @param other the other count, not null
	 * @return the sum
	 */
	public EventCount plus(EventCount other) {
		return new EventCount(this.good + other.good, this.bad + other.bad);
	}

	/**
	 * Returns the share of bad events.
	 * @return the share, 0 if there are no events
	 */
	public double badShare() {
		long all = this.good + this.bad;
		return (all == 0) ? 0 : (double) this.bad / all;
	}

	/**
	 * Returns how fast the error budget of an objective is used up. At a rate of 1 it
	 * lasts exactly for its period.
	 * @param objective the objective, not null
	 * @return the rate, 0 or more
	 */
	public double burnRate(Objective objective) {
		return badShare() / (1 - objective.target());
	}

}
