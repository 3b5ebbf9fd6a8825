package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Request to an engine to run a range of layers for consecutive positions of a stream. An
 * engine that has already run the step in the same attempt returns the stored reply.
 * Immutable and thread-safe; the input must not be changed.
 *
 * @param stream the identifier of the stream, unique across all daemons
 * @param attempt the attempt number, from 1; an engine rejects earlier attempts
 * @param model the name of the model
 * @param version the model version; an engine rejects a step for another version
 * @param adapter the adapter version, empty for none
 * @param layers the layers to run
 * @param position the first position
 * @param input one value per position: token numbers for layer 0, otherwise the output of
 * the previous stage
 * @param priority the priority of the step; steps with a higher number run first
 */
public record StepRequest(String stream, int attempt, String model, String version, String adapter, LayerRange layers,
		int position, long[] input, int priority) {

	/**
	 * Creates a step.
	 * @param stream the identifier of the stream, not null
	 * @param attempt the attempt number, from 1
	 * @param model the name of the model, not null
	 * @param version the model version, not null
	 * @param adapter the adapter version, empty for none
	 * @param layers the layers to run, not null
	 * @param position the first position, 0 or more
	 * @param input one value per position, not empty
	 * @param priority the priority of the step
	 */
	public StepRequest {
		Objects.requireNonNull(stream, "stream");
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(adapter, "adapter");
		Objects.requireNonNull(layers, "layers");
		if (attempt < 1 || position < 0 || input.length == 0) {
			throw new IllegalArgumentException("invalid step of stream " + stream + ": attempt " + attempt
					+ ", position " + position + ", " + input.length + " inputs");
		}
	}

}
