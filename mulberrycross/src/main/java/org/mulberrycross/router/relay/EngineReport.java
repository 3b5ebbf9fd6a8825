package org.mulberrycross.router.relay;

import java.util.Set;

import org.mulberrycross.Address;

/**
 * What an engine reports about its speed and its requests. Immutable and thread-safe.
 *
 * @param stalledEngines the addresses of the engines that requests on this engine wait
 * for, not null
 * @param slowdown the factor by which the engine is slower than its kind, 1 if it is not
 */
public record EngineReport(Set<Address> stalledEngines, double slowdown) {

	/**
	 * Creates a report.
	 * @param stalledEngines the addresses of the engines that requests wait for, not null
	 * @param slowdown the factor by which the engine is slower than its kind; a value
	 * below 1 or not a number is taken as 1
	 */
	public EngineReport {
		stalledEngines = Set.copyOf(stalledEngines);
		slowdown = (slowdown > 1) ? slowdown : 1;
	}

}
