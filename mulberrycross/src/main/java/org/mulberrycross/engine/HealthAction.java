package org.mulberrycross.engine;

/**
 * Action that {@link EngineHealth} requests for an engine. Immutable and thread-safe.
 */
public sealed interface HealthAction {

	/**
	 * Returns the engine that the action applies to.
	 * @return the name, not null
	 */
	String engine();

	/**
	 * Ejects an engine, so that it gets no new work.
	 *
	 * @param engine the name of the engine
	 */
	record Eject(String engine) implements HealthAction {

	}

	/**
	 * Probes an ejected engine once; the result goes to
	 * {@link EngineHealth#recordProbeResult}.
	 *
	 * @param engine the name of the engine
	 */
	record Probe(String engine) implements HealthAction {

	}

	/**
	 * Readmits an ejected engine, so that it gets new work again.
	 *
	 * @param engine the name of the engine
	 */
	record Readmit(String engine) implements HealthAction {

	}

}
