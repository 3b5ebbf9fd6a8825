package org.mulberrycross.sibling;

/**
 * Something that one daemon observed about an engine. Implementations are immutable.
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
	 * Returns the name of the daemon that observed it.
	 * @return the name, not null
	 */
	String origin();

	/**
	 * Returns the version, which is comparable between reports of one origin only.
	 * @return the version
	 */
	long version();

	/**
	 * Returns the time since the observation, without the time in the network.
	 * @return the age in milliseconds
	 */
	long ageMillis();

	/**
	 * Returns this report with another age.
	 * @param ageMillis the age in milliseconds
	 * @return the report
	 */
	T aged(long ageMillis);

}
