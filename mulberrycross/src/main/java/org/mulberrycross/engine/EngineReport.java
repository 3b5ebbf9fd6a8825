package org.mulberrycross.engine;

import java.util.Objects;

/**
 * What an engine says about its setup. Immutable and thread-safe.
 *
 * @param current the setup that it serves, not null
 * @param target the setup that it changes to, equal to {@code current} when it changes
 * nothing
 * @param fencing the highest fencing number of the orders that it accepted, 0 for none or
 * if it ignores the number
 */
public record EngineReport(EngineSetup current, EngineSetup target, long fencing) {

	/**
	 * Creates a report.
	 * @param current the setup that it serves, not null
	 * @param target the setup that it changes to, not null
	 * @param fencing the highest fencing number of the orders that it accepted
	 */
	public EngineReport {
		Objects.requireNonNull(current, "current");
		Objects.requireNonNull(target, "target");
	}

}
