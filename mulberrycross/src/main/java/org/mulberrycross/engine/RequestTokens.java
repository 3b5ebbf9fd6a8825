package org.mulberrycross.engine;

/**
 * Size of a request in tokens. Immutable and thread-safe.
 *
 * @param prompt the number of tokens of the prompt
 * @param output the number of tokens to generate
 */
public record RequestTokens(double prompt, double output) {

	/**
	 * Returns the number of tokens in the key-value cache when the request ends.
	 * @return the sum of prompt and output tokens
	 */
	public double total() {
		return this.prompt + this.output;
	}

}
