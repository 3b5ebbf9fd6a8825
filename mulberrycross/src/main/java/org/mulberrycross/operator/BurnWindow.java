package org.mulberrycross.operator;

/**
 * Times over which error budgets are watched. A fast burn shows in the two short windows
 * together, a slow one in the two long ones.
 */
public enum BurnWindow {

	/** The short window of a fast burn. */
	FIVE_MINUTES(5),

	/** The short window of a slow burn. */
	THIRTY_MINUTES(30),

	/** The long window of a fast burn. */
	ONE_HOUR(60),

	/** The long window of a slow burn. */
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
