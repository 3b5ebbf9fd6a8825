package org.mulberrycross.caller;

/**
 * Converts text to the token identifiers of a model. Implementations are thread-safe.
 */
@FunctionalInterface
public interface Tokenizer {

	/**
	 * Splits a text into tokens.
	 * @param text the text, not null
	 * @return the token identifiers in order; empty if the text has no tokens
	 */
	long[] tokenize(String text);

}
