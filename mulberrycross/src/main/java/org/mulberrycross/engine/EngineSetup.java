package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Model, adapter and role that an engine serves or is to serve. Immutable and
 * thread-safe.
 *
 * @param model the name of the model, not null
 * @param version the version of the model, not null
 * @param adapter the version of the adapter, empty for none
 * @param role the inference phases that the engine runs, not null
 */
public record EngineSetup(String model, String version, String adapter, EngineRole role) {

	/**
	 * Creates a setup.
	 * @param model the name of the model, not null
	 * @param version the version of the model, not null
	 * @param adapter the version of the adapter, empty if there is none, not null
	 * @param role the inference phases that the engine runs, not null
	 */
	public EngineSetup {
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(adapter, "adapter");
		Objects.requireNonNull(role, "role");
	}

	/**
	 * Returns whether another setup uses the same weights, so that a change between them
	 * loads nothing. The role does not matter.
	 * @param other the other setup, not null
	 * @return true if model, version and adapter are the same
	 */
	public boolean hasSameWeights(EngineSetup other) {
		return this.model.equals(other.model) && this.version.equals(other.version)
				&& this.adapter.equals(other.adapter);
	}

}
