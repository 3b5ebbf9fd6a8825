package org.mulberrycross.sibling;

/**
 * An observation of an engine by one daemon. Implementations are immutable.
 *
 * @param <T> the type of the report
 */
public sealed interface EngineReport<T extends EngineReport<T>> permits HealthReport, LoadReport {

	/**
	 * Returns the name of the engine.
	 * @return the name, not null
	 */
	String engine();

	/**
	 * Returns the name of the daemon that observed the engine.
	 * @return the name, not null
	 */
	String origin();

	/**
	 * Returns the version of the report. Only versions of one origin are comparable.
	 * @return the version, higher for newer reports
	 */
	long version();

	/**
	 * Returns the time since the observation, excluding the time spent in the network.
	 * @return the age in milliseconds
	 */
	long ageMillis();

	/**
	 * Returns a copy of this report with another age.
	 * @param ageMillis the age in milliseconds
	 * @return the copy
	 */
	T withAge(long ageMillis);

}
