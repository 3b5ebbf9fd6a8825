package org.mulberrycross.standins.engine;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * The model that engine stand-ins serve. The text is a function of the prompt, the number
 * of layers and the version; each layer keeps one number of state for the stream, so that
 * a layer that is left out, repeated or run out of order changes every later token.
 * Thread-safe; the state arrays are the caller's.
 */
public final class ReferenceModel {

	private static final int VOCABULARY_MASK = 0x7fff;

	private static final int TEXT_RADIX = 36;

	private ReferenceModel() {
	}

	/**
	 * Runs one layer for one position.
	 * @param layer the number of the layer, from 0
	 * @param version the model version, not null
	 * @param input the input of the layer
	 * @param state the state of the layers that are held; changed by this call
	 * @param index the index of the layer's state
	 * @return the output of the layer
	 */
	public static long layer(int layer, String version, long input, long[] state, int index) {
		long output = MurmurHash3.hash32(input ^ version.hashCode(), state[index], layer + 1) & 0xffffffffL;
		state[index] = MurmurHash3.hash32(state[index], output, layer + 1) & 0xffffffffL;
		return output;
	}

	/**
	 * Returns the token that follows from the output of the last layer.
	 * @param output the output of the last layer
	 * @return the number of the token
	 */
	public static long token(long output) {
		return output & VOCABULARY_MASK;
	}

	/**
	 * Returns the text of a token.
	 * @param token the number of the token
	 * @return the text, starting with a space
	 */
	public static String text(long token) {
		return " " + Long.toString(token, TEXT_RADIX);
	}

	/**
	 * Computes a whole answer, for comparison with one that came through the router.
	 * @param layers the number of layers of the model
	 * @param version the model version, not null
	 * @param prompt the token numbers of the prompt, not empty
	 * @param maxTokens the number of tokens to generate
	 * @return the text of the answer
	 */
	public static String answer(int layers, String version, long[] prompt, int maxTokens) {
		long[] state = new long[layers];
		long output = 0;
		for (long token : prompt) {
			output = allLayers(layers, version, token, state);
		}
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < maxTokens; i++) {
			long token = token(output);
			text.append(text(token));
			output = allLayers(layers, version, token, state);
		}
		return text.toString();
	}

	private static long allLayers(int layers, String version, long token, long[] state) {
		long value = token;
		for (int layer = 0; layer < layers; layer++) {
			value = layer(layer, version, value, state, layer);
		}
		return value;
	}

}
