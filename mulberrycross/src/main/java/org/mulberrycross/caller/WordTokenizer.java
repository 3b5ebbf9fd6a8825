package org.mulberrycross.caller;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Takes each word as one token and its hash as the token's number. Serves where the
 * engines accept any numbering, as the stand-ins do; a deployment passes in the tokenizer
 * of its model. Thread-safe.
 */
public final class WordTokenizer implements Tokenizer {

	private static final Pattern SPACES = Pattern.compile("\\s+");

	private static final int VOCABULARY_MASK = 0x7fff;

	@Override
	public long[] tokens(String text) {
		return SPACES.splitAsStream(text)
			.filter((word) -> !word.isEmpty())
			.mapToLong((word) -> MurmurHash3.hash32x86(word.getBytes(StandardCharsets.UTF_8)) & VOCABULARY_MASK)
			.toArray();
	}

}
