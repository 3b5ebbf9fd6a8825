package org.mulberrycross.engine;

/**
 * The size of a request. Immutable and thread-safe.
 *
 * @param prompt the number of tokens of the prompt
 * @param output the number of tokens to generate
 */
public record RequestTokens(double prompt, double output) {

	/**
	 * Returns the tokens that the request holds in memory when it ends.
	 * @return the sum of both numbers
	 */
	public double total() {
		return this.prompt + this.output;
	}

}
