package org.mulberrycross.operator;

/**
 * Service-level objectives. The latency targets are those of the size to design for: 0.88
 * s to the first token and 67 ms between tokens for 95 in 100.
 */
public enum Objective {

	/** Answers whose first token came in time. */
	FIRST_TOKEN("first token", 0.95),

	/** Tokens that came in time after the token before them. */
	BETWEEN_TOKENS("between tokens", 0.95),

	/**
	 * Requests that did not fail. A request that was refused as not run counts as bad.
	 */
	SUCCESS("success", 0.999),

	/** Answers that started and were not cut off. */
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
	 * Returns the name for people.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Returns the share of events that must be good.
	 * @return the share, between 0 and 1
	 */
	public double target() {
		return this.target;
	}

}
