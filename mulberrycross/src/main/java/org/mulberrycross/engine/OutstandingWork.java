package org.mulberrycross.engine;

/**
 * Estimates the work that all daemons together have at an engine. Implementations are
 * confined to the control thread.
 */
@FunctionalInterface
public interface OutstandingWork {

	/**
	 * Returns the expected work at an engine, that of this daemon included.
	 * @param engineId the id of the engine, not null
	 * @param own the work that this daemon has at the engine, not null
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return the work of all daemons, not null
	 */
	EngineWork at(String engineId, EngineWork own, long nowNanos);

}
