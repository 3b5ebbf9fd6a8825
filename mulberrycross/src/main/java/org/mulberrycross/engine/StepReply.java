package org.mulberrycross.engine;

import java.util.Objects;

/**
 * What an engine ran for a step. Immutable and thread-safe; the output must not be
 * changed.
 *
 * @param stream the identifier of the stream
 * @param attempt the attempt that the step named
 * @param version the model version that ran
 * @param layers the layers that ran
 * @param position the first position that ran
 * @param count the number of positions that ran
 * @param output one value per position, to be the input of the next stage; from the last
 * layer only the next token's number
 * @param text the text of the next token, empty unless the last layer ran
 * @param load the load of the engine after the step
 */
public record StepReply(String stream, int attempt, String version, LayerRange layers, int position, int count,
		long[] output, String text, EngineLoad load) {

	/**
	 * Creates a reply.
	 * @param stream the identifier of the stream, not null
	 * @param attempt the attempt that the step named
	 * @param version the model version that ran, not null
	 * @param layers the layers that ran, not null
	 * @param position the first position that ran
	 * @param count the number of positions that ran
	 * @param output the output values, not null
	 * @param text the text of the next token; null means empty
	 * @param load the load of the engine, not null
	 */
	public StepReply {
		Objects.requireNonNull(stream, "stream");
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(layers, "layers");
		Objects.requireNonNull(output, "output");
		Objects.requireNonNull(load, "load");
		text = Objects.requireNonNullElse(text, "");
	}

}
