package org.mulberrycross.engine;

import java.util.Objects;

/**
 * What an engine serves, or has to serve. Immutable and thread-safe.
 *
 * @param model the name of the model, not null
 * @param version the version of the model, not null
 * @param adapter the version of the adapter, empty for none
 * @param role the work that it is set up for, not null
 */
public record EngineSetup(String model, String version, String adapter, EngineRole role) {

	/**
	 * Creates a setup.
	 * @param model the name of the model, not null
	 * @param version the version of the model, not null
	 * @param adapter the version of the adapter, not null
	 * @param role the work that it is set up for, not null
	 */
	public EngineSetup {
		Objects.requireNonNull(model, "model");
		Objects.requireNonNull(version, "version");
		Objects.requireNonNull(adapter, "adapter");
		Objects.requireNonNull(role, "role");
	}

	/**
	 * Returns whether another setup uses the same weights. A change of role alone loads
	 * nothing.
	 * @param other the other setup, not null
	 * @return true if model, version and adapter are the same
	 */
	public boolean sameWeights(EngineSetup other) {
		return this.model.equals(other.model) && this.version.equals(other.version)
				&& this.adapter.equals(other.adapter);
	}

}
