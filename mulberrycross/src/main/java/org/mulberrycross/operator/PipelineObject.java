package org.mulberrycross.operator;

import java.util.Objects;

/**
 * A pipeline that callers address by name. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param model the name of the model
 * @param version the model version, one of the model's versions
 * @param adapter the adapter version, one of the model's adapters; empty for none
 * @param maxTokens the largest number of tokens that one request may generate
 * @param longTokens the number of generated tokens from which a request counts as long
 */
public record PipelineObject(String name, String model, String version, String adapter, int maxTokens,
		int longTokens) implements OperatorObject {

	/**
	 * Creates a pipeline.
	 * @param name the name, not null
	 * @param model the name of the model; null means empty
	 * @param version the model version; null means empty
	 * @param adapter the adapter version; null means none
	 * @param maxTokens the largest number of tokens that one request may generate
	 * @param longTokens the number of generated tokens from which a request counts as
	 * long
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
