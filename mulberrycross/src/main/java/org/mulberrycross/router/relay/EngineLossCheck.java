package org.mulberrycross.router.relay;

import java.util.function.Consumer;

import org.mulberrycross.engine.EngineInstance;

/**
 * Finds out whether an engine still runs. Must be called on the control thread.
 */
@FunctionalInterface
interface EngineLossCheck {

	/**
	 * Asks an engine whether it runs.
	 * @param engine the engine, not null
	 * @param onResult receives true on the control thread if the engine does not reply
	 */
	void check(EngineInstance engine, Consumer<Boolean> onResult);

}
