package org.mulberrycross.operator;

import java.util.Objects;

/**
 * A version of a model, with an optional adapter, that callers address by the name of the
 * pipeline. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param model the name of the model that the pipeline runs
 * @param version the model version, one of the model's versions
 * @param adapter the adapter version, one of the model's adapters; empty for none
 * @param maxTokens the maximum number of tokens that one request may generate
 * @param longTokens the minimum number of generated tokens of a request that is
 * classified as long
 */
public record PipelineObject(String name, String model, String version, String adapter, int maxTokens,
		int longTokens) implements OperatorObject {

	/**
	 * Creates a pipeline.
	 * @param name the name, not null
	 * @param model the name of the model; null means empty
	 * @param version the model version; null means empty
	 * @param adapter the adapter version; null means none
	 * @param maxTokens the maximum number of tokens that one request may generate
	 * @param longTokens the minimum number of generated tokens of a request that is
	 * classified as long
	 */
	public PipelineObject {
		Objects.requireNonNull(name, "name");
		model = Objects.requireNonNullElse(model, "");
		version = Objects.requireNonNullElse(version, "");
		adapter = Objects.requireNonNullElse(adapter, "");
	}

	@Override
	public ObjectKind kind() {
		return ObjectKind.PIPELINE;
	}

}
