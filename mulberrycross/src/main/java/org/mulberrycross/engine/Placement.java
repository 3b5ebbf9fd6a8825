package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Layers that an engine is to hold. Immutable and thread-safe.
 *
 * @param engine the engine, not null
 * @param layers the layers, not null
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
