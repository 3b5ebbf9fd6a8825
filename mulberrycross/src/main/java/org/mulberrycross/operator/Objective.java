package org.mulberrycross.operator;

/**
 * Service-level objectives. The latency targets are 0.88 s to the first token and 67 ms
 * between tokens, each for 95% of the events, and are required at the scale that the
 * system is designed for.
 */
public enum Objective {

	/** Share of started responses whose first token was sent in time. */
	FIRST_TOKEN("first token", 0.95),

	/** Share of later tokens that were sent in time after the previous token. */
	BETWEEN_TOKENS("between tokens", 0.95),

	/**
	 * Share of requests that succeeded. A request that was rejected without being
	 * executed counts as bad.
	 */
	SUCCESS("success", 0.999),

	/** Share of started responses that were completed. */
	WHOLE("whole answers", 0.9999);

	/** Target for the time from arrival to the first token, in nanoseconds. */
	public static final long FIRST_TOKEN_TARGET_NANOS = 880_000_000L;

	/** Target for the time between two tokens, in nanoseconds. */
	public static final long BETWEEN_TOKENS_TARGET_NANOS = 67_000_000L;

	private final String label;

	private final double target;

	Objective(String label, double target) {
		this.label = label;
		this.target = target;
	}

	/**
	 * Returns the display name of the objective.
	 * @return the label, in lower case
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the required ratio of good events to all events.
	 * @return the ratio, between 0 and 1
	 */
	public double target() {
		return this.target;
	}

}
