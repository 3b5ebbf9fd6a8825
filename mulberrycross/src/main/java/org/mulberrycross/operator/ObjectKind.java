package org.mulberrycross.operator;

import java.util.Arrays;
import java.util.Optional;

/**
 * Kinds of objects that operators edit.
 */
public enum ObjectKind {

	/** A model: its layers, versions and adapters. */
	MODEL("model"),

	/** A pipeline: a model version that callers address by name. */
	PIPELINE("pipeline"),

	/** A team: its API key, weight, concurrency limit and permitted pipelines. */
	TEAM("team"),

	/** An upstream: an engine or a plain service. */
	UPSTREAM("upstream");

	private final String label;

	ObjectKind(String label) {
		this.label = label;
	}

	/**
	 * Returns the label of the kind, which is the first part of keys in the object API.
	 * @return the label, in lower case
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Finds a kind by its label.
	 * @param label the label, not null
	 * @return the kind, or empty if no kind has that label
	 */
	public static Optional<ObjectKind> of(String label) {
		return Arrays.stream(values()).filter((kind) -> kind.label.equals(label)).findFirst();
	}

}
