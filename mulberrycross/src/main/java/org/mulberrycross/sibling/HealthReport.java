package org.mulberrycross.sibling;

/**
 * Health of an engine as observed by one daemon. Immutable and thread-safe.
 *
 * @param engine the name of the engine
 * @param origin the name of the daemon that observed the engine
 * @param version the version, comparable between reports of one origin only
 * @param ageMillis the time since the observation, in milliseconds
 * @param suspected whether the engine is suspected to have failed
 */
public record HealthReport(String engine, String origin, long version, long ageMillis,
		boolean suspected) implements EngineReport<HealthReport> {

	@Override
	public HealthReport withAge(long newAgeMillis) {
		return new HealthReport(this.engine, this.origin, this.version, newAgeMillis, this.suspected);
	}

}
