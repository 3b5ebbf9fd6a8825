package org.mulberrycross.engine;

/**
 * Limits the number of model weight loads that orders start.
 */
@FunctionalInterface
public interface LoadPermit {

	/**
	 * Acquires a permit for one load if available.
	 * @param setup the setup whose weights are loaded, not null
	 * @param nowNanos the current time on the daemon's monotonic clock
	 * @return true if the load may start now; the permit is then consumed even if the
	 * order is not sent
	 */
	boolean tryAcquire(EngineSetup setup, long nowNanos);

}
