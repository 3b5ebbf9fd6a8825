package org.mulberrycross.engine;

/**
 * What {@link EngineHealth} decided about an engine. Immutable and thread-safe.
 */
public sealed interface HealthAction {

	/**
	 * Returns the engine that the action is about.
	 * @return the name, not null
	 */
	String engine();

	/**
	 * Gives an engine no new work.
	 *
	 * @param engine the name of the engine
	 */
	record Eject(String engine) implements HealthAction {

	}

	/**
	 * Probes a suspected engine once; the result goes to {@link EngineHealth#tried}.
	 *
	 * @param engine the name of the engine
	 */
	record Try(String engine) implements HealthAction {

	}

	/**
	 * Gives an engine work again.
	 *
	 * @param engine the name of the engine
	 */
	record Readmit(String engine) implements HealthAction {

	}

}
