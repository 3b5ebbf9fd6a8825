package org.mulberrycross.engine;

import java.util.Optional;

/**
 * Tells the last known load of engines. Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface EngineLoads {

	/**
	 * Returns the load of an engine.
	 * @param engine the name of the engine, not null
	 * @return the load, or empty if no report has come
	 */
	Optional<EngineLoad> load(String engine);

}
