package org.mulberrycross.engine;

import java.util.Objects;

/**
 * State report of an engine. Immutable and thread-safe.
 *
 * @param current the setup that the engine serves, not null
 * @param target the setup that it is changing to, equal to {@code current} if no change
 * is in progress, not null
 * @param fencing the highest fencing number of the orders that it accepted, 0 if it
 * accepted none or ignores the number
 */
public record EngineSetupReport(EngineSetup current, EngineSetup target, long fencing) {

	/**
	 * Creates a report.
	 * @param current the setup that the engine serves, not null
	 * @param target the setup that it is changing to, not null
	 * @param fencing the highest fencing number of the orders that it accepted
	 */
	public EngineSetupReport {
		Objects.requireNonNull(current, "current");
		Objects.requireNonNull(target, "target");
	}

}
