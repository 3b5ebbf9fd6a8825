package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Reply of an engine to a step. Immutable and thread-safe; callers must not change the
 * output array.
 *
 * @param stream the identifier of the stream
 * @param attempt the attempt number of the step
 * @param version the model version that ran
 * @param layers the layers that ran
 * @param position the first position that ran
 * @param count the number of positions that ran
 * @param output one value per position, the input of the next stage; if the last layer
 * ran, only the number of the next token
 * @param text the text of the next token, empty if the last layer did not run
 * @param load the load of the engine after the step
 */
public record StepReply(String stream, int attempt, String version, LayerRange layers, int position, int count,
		long[] output, String text, EngineLoad load) {

	/**
	 * Creates a reply.
	 * @param stream the identifier of the stream, not null
	 * @param attempt the attempt number of the step
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
