package org.mulberrycross.engine;

/**
 * Throughput and delay of the link between two data centres, which all requests share.
 * Immutable and thread-safe.
 *
 * @param megabitsPerToken the activations of one token, in Mbit
 * @param megabitsPerSecond the throughput, in Mbit per second
 * @param delayMillis the one-way delay, in milliseconds
 */
public record PipeProfile(double megabitsPerToken, double megabitsPerSecond, double delayMillis) {

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Creates a profile.
	 * @param megabitsPerToken the activations of one token, in Mbit
	 * @param megabitsPerSecond the throughput, in Mbit per second
	 * @param delayMillis the one-way delay, in milliseconds
	 * @throws IllegalArgumentException if a value is negative, or the throughput is not
	 * positive
	 */
	public PipeProfile {
		if (!(megabitsPerToken >= 0) || !(megabitsPerSecond > 0) || !(delayMillis >= 0)) {
			throw new IllegalArgumentException("invalid link: " + megabitsPerToken + " Mbit per token, "
					+ megabitsPerSecond + " Mbit per second, " + delayMillis + " ms");
		}
	}

	/**
	 * Returns for how long the activations of a request occupy the link.
	 * @param tokens the size of the request, not null
	 * @return the time, in milliseconds
	 */
	public double occupiedMillis(RequestTokens tokens) {
		return tokens.total() * this.megabitsPerToken / this.megabitsPerSecond * MILLIS_PER_SECOND;
	}

	/**
	 * Returns how much longer a request takes on an idle link than within a data centre.
	 * @param tokens the size of the request, not null
	 * @return the time, in milliseconds
	 */
	public double crossingMillis(RequestTokens tokens) {
		return occupiedMillis(tokens) + this.delayMillis * (tokens.output() + 1);
	}

}
