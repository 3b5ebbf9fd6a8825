package org.mulberrycross.engine;

/**
 * Size of a request in tokens. Immutable and thread-safe.
 *
 * @param prompt the number of tokens to read
 * @param output the expected number of tokens to generate
 * @param highOutput the number of tokens for which memory is needed at worst
 */
public record RequestTokens(double prompt, double output, double highOutput) {

	/**
	 * Creates a size with an output that is known.
	 * @param prompt the number of tokens to read
	 * @param output the number of tokens to generate
	 */
	public RequestTokens(double prompt, double output) {
		this(prompt, output, output);
	}

	/**
	 * Returns the number of tokens expected in the key-value cache when the request ends.
	 * @return the sum of prompt and output tokens
	 */
	public double total() {
		return this.prompt + this.output;
	}

	/**
	 * Returns the number of tokens in the key-value cache for which an engine needs room.
	 * @return the sum of prompt tokens and the output at worst
	 */
	public double highTotal() {
		return this.prompt + this.highOutput;
	}

}
