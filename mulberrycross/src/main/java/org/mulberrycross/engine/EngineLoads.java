package org.mulberrycross.engine;

import java.util.Optional;

/**
 * Provides the last known load of engines. Implementations must be thread-safe and must
 * not block.
 */
@FunctionalInterface
public interface EngineLoads {

	/**
	 * Returns the last known load of an engine.
	 * @param engine the name of the engine, not null
	 * @return the load, or empty if no report has been received
	 */
	Optional<EngineLoad> load(String engine);

}
