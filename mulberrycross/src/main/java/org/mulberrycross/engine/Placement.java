package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Assignment of layers to an engine, including those that it holds already. Immutable and
 * thread-safe.
 *
 * @param engine the engine, not null
 * @param layers all layers that the engine holds afterwards, not null
 */
public record Placement(EngineInstance engine, LayerRange layers) {

	/**
	 * Creates a placement.
	 * @param engine the engine, not null
	 * @param layers the layers, not null
	 */
	public Placement {
		Objects.requireNonNull(engine, "engine");
		Objects.requireNonNull(layers, "layers");
	}

}
