package org.mulberrycross.operator;

/**
 * Windows over which the burn rates of error budgets are computed. The fast-burn alert
 * combines the windows of five minutes and one hour, the slow-burn alert those of 30
 * minutes and six hours.
 */
public enum BurnWindow {

	/** The short window of the fast-burn alert. */
	FIVE_MINUTES(5),

	/** The short window of the slow-burn alert. */
	THIRTY_MINUTES(30),

	/** The long window of the fast-burn alert. */
	ONE_HOUR(60),

	/** The long window of the slow-burn alert. */
	SIX_HOURS(360);

	private final int minutes;

	BurnWindow(int minutes) {
		this.minutes = minutes;
	}

	/**
	 * Returns the length of the window.
	 * @return the length in minutes
	 */
	public int minutes() {
		return this.minutes;
	}

}
