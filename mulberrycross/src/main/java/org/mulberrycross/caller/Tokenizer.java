package org.mulberrycross.caller;

/**
 * Turns text into token numbers. Implementations are thread-safe.
 */
@FunctionalInterface
public interface Tokenizer {

	/**
	 * Returns the tokens of a text.
	 * @param text the text, not null
	 * @return the token numbers in order; empty if the text has no tokens
	 */
	long[] tokens(String text);

}
