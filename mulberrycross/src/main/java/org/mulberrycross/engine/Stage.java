package org.mulberrycross.engine;

import java.util.Objects;

import org.mulberrycross.Address;

/**
 * Part of a route: an engine and the layers that it runs. Immutable and thread-safe.
 *
 * @param engine the name of the engine, not null
 * @param address the address of the engine, not null
 * @param layers the layers to run, not null; possibly only a part of those that the
 * engine holds
 */
public record Stage(String engine, Address address, LayerRange layers) {

	/**
	 * Creates a stage.
	 * @param engine the name of the engine, not null
	 * @param address the address of the engine, not null
	 * @param layers the layers to run, not null
	 */
	public Stage {
		Objects.requireNonNull(engine, "engine");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(layers, "layers");
	}

}
