package org.mulberrycross.sibling;

/**
 * Health of an engine as one daemon observed it. Immutable and thread-safe.
 *
 * @param engine the name of the engine
 * @param origin the daemon that observed it
 * @param version the version, per origin
 * @param ageMillis the time since the observation, in milliseconds
 * @param suspected whether the engine is suspected to have failed
 */
public record HealthReport(String engine, String origin, long version, long ageMillis,
		boolean suspected) implements EngineReport<HealthReport> {

	@Override
	public HealthReport aged(long millis) {
		return new HealthReport(this.engine, this.origin, this.version, millis, this.suspected);
	}

}
