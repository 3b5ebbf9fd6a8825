package org.mulberrycross.caller;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Treats each word as one token and its hash as the token identifier. Suitable for
 * engines that accept arbitrary identifiers, such as the stand-ins; a deployment uses the
 * tokenizer of its model instead. Thread-safe.
 */
public final class WordTokenizer implements Tokenizer {

	private static final Pattern WHITESPACE = Pattern.compile("\\s+");

	/** Limits identifiers to 15 bits. */
	private static final int VOCABULARY_MASK = 0x7fff;

	@Override
	public long[] tokenize(String text) {
		return WHITESPACE.splitAsStream(text)
			.filter((word) -> !word.isEmpty())
			.mapToLong((word) -> MurmurHash3.hash32x86(word.getBytes(StandardCharsets.UTF_8)) & VOCABULARY_MASK)
			.toArray();
	}

}
