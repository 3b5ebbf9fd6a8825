package org.mulberrycross.engine;

import java.util.Objects;

import org.mulberrycross.Address;

/**
 * One engine and the layers that it runs for a route. Immutable and thread-safe.
 *
 * @param engine the name of the engine, not null
 * @param address the address of the engine, not null
 * @param layers the layers to run, not null; may be fewer than the engine holds
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
