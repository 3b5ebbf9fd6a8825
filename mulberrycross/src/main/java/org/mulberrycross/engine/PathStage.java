package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Stage of a path: a range of layers that one engine runs for a request. Immutable and
 * thread-safe.
 *
 * @param engine the engine, not null
 * @param layers the layers that it runs, not null
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
