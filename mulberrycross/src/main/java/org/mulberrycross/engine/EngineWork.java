package org.mulberrycross.engine;

/**
 * Work that an engine still has to do. Immutable and thread-safe.
 *
 * @param requests the number of requests whose path contains the engine, 0 or more
 * @param tokens the tokens that these requests are expected to hold when they end, 0 or
 * more
 * @param pendingPromptTokens the prompt tokens that the engine has not processed yet, 0
 * or more
 */
public record EngineWork(double requests, double tokens, double pendingPromptTokens) {

	/** No work. */
	public static final EngineWork NONE = new EngineWork(0, 0, 0);

	/**
	 * Creates a value. Amounts below 0, which rounding may produce, become 0.
	 * @param requests the number of requests
	 * @param tokens the tokens held when the requests end
	 * @param pendingPromptTokens the prompt tokens not processed yet
	 */
	public EngineWork {
		requests = Math.max(0, requests);
		tokens = Math.max(0, tokens);
		pendingPromptTokens = Math.max(0, pendingPromptTokens);
	}

	/**
	 * Returns the sum of two amounts of work.
	 * @param other the work to add, not null
	 * @return the sum
	 */
	public EngineWork plus(EngineWork other) {
		return new EngineWork(this.requests + other.requests, this.tokens + other.tokens,
				this.pendingPromptTokens + other.pendingPromptTokens);
	}

	/**
	 * Returns a multiple of this work.
	 * @param factor the factor, 0 or more
	 * @return the multiple
	 */
	public EngineWork times(double factor) {
		return new EngineWork(this.requests * factor, this.tokens * factor, this.pendingPromptTokens * factor);
	}

}
