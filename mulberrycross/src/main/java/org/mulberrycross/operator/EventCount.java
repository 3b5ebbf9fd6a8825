package org.mulberrycross.operator;

/**
 * Numbers of good and bad events of a service-level objective. Immutable and thread-safe.
 *
 * @param good the number of good events
 * @param bad the number of bad events
 */
public record EventCount(long good, long bad) {

	/** Count without events. */
	public static final EventCount ZERO = new EventCount(0, 0);

	/**
	 * Returns the sum of two counts.
	 * @param other the other count, not null
	 * @return the sum of the good and of the bad events
	 */
	public EventCount plus(EventCount other) {
		return new EventCount(this.good + other.good, this.bad + other.bad);
	}

	/**
	 * Returns the ratio of bad events to all events.
	 * @return the ratio from 0 to 1, 0 if there are no events
	 */
	public double badRatio() {
		long total = this.good + this.bad;
		return (total == 0) ? 0 : (double) this.bad / total;
	}

	/**
	 * Returns the burn rate of the error budget of an objective. A rate of 1 exhausts the
	 * budget exactly at the end of its period.
	 * @param objective the objective, not null
	 * @return the burn rate, 0 or more
	 */
	public double burnRate(Objective objective) {
		return badRatio() / (1 - objective.target());
	}

}
