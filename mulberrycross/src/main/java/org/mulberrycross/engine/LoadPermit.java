package org.mulberrycross.engine;

/**
 * Decides whether an order may make an engine load weights now.
 */
@FunctionalInterface
public interface LoadPermit {

	/**
	 * Takes the permission for one load.
	 * @param setup the setup whose weights are loaded, not null
	 * @param nowNanos the daemon's monotonic clock
	 * @return whether the load may start; if true, the permission is used up, also if the
	 * order is not sent
	 */
	boolean tryStart(EngineSetup setup, long nowNanos);

}
