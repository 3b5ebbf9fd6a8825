package org.mulberrycross.engine;

import java.util.Objects;

/**
 * The part of a path that one engine runs. Immutable and thread-safe.
 *
 * @param engine the engine, not null
 * @param layers the layers that it runs for the request, not null
 */
public record PathStage(EngineInstance engine, LayerRange layers) {

	/**
	 * Creates a stage.
	 * @param engine the engine, not null
	 * @param layers the layers, not null
	 */
	public PathStage {
		Objects.requireNonNull(engine, "engine");
		Objects.requireNonNull(layers, "layers");
	}

}
