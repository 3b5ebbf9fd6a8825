package org.mulberrycross.standins.engine;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Deterministic model that engine stand-ins serve. The text is a function of the prompt,
 * the number of layers and the version. Each layer keeps one number as its state of the
 * stream, so that a layer that is skipped, repeated or run out of order changes all later
 * tokens. Thread-safe, if no two threads share a state array.
 */
public final class ReferenceModel {

	private static final int VOCABULARY_MASK = 0x7fff;

	private static final int TEXT_RADIX = 36;

	private ReferenceModel() {
	}

	/**
	 * Runs one layer at one position of a stream.
	 * @param layer the number of the layer, from 0
	 * @param version the model version, not null
	 * @param input the input of the layer
	 * @param state the state of the layers that the engine holds; changed by this call
	 * @param stateIndex the index of the layer in {@code state}
	 * @return the output of the layer
	 */
	public static long runLayer(int layer, String version, long input, long[] state, int stateIndex) {
		long output = MurmurHash3.hash32(input ^ version.hashCode(), state[stateIndex], layer + 1) & 0xffffffffL;
		state[stateIndex] = MurmurHash3.hash32(state[stateIndex], output, layer + 1) & 0xffffffffL;
		return output;
	}

	/**
	 * Derives the next token from the output of the last layer.
	 * @param output the output of the last layer
	 * @return the number of the token, not negative
	 */
	public static long nextToken(long output) {
		return output & VOCABULARY_MASK;
	}

	/**
	 * Returns the text of a token.
	 * @param token the number of the token
	 * @return the text, starting with a space
	 */
	public static String tokenText(long token) {
		return " " + Long.toString(token, TEXT_RADIX);
	}

	/**
	 * Generates the complete text of an answer, for comparison with one that came through
	 * the router.
	 * @param layers the number of layers of the model
	 * @param version the model version, not null
	 * @param prompt the token numbers of the prompt, not empty
	 * @param maxTokens the number of tokens to generate
	 * @return the text of the answer
	 */
	public static String generate(int layers, String version, long[] prompt, int maxTokens) {
		long[] state = new long[layers];
		long output = 0;
		for (long token : prompt) {
			output = runAllLayers(layers, version, token, state);
		}
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < maxTokens; i++) {
			long token = nextToken(output);
			text.append(tokenText(token));
			output = runAllLayers(layers, version, token, state);
		}
		return text.toString();
	}

	private static long runAllLayers(int layers, String version, long token, long[] state) {
		long value = token;
		for (int layer = 0; layer < layers; layer++) {
			value = runLayer(layer, version, value, state, layer);
		}
		return value;
	}

}
