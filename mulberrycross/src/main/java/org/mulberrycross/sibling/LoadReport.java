package org.mulberrycross.sibling;

/**
 * Load of an engine as one daemon observed it. Immutable and thread-safe.
 *
 * @param engine the name of the engine
 * @param origin the daemon that observed it
 * @param version the version, per origin
 * @param ageMillis the time since the observation, in milliseconds
 * @param running the number of steps in the current batch
 * @param queued the number of steps that wait for a batch
 * @param batchLimit the largest batch
 * @param stepMicros the time of one batch step, in microseconds
 */
public record LoadReport(String engine, String origin, long version, long ageMillis, int running, int queued,
		int batchLimit, long stepMicros) implements EngineReport<LoadReport> {

	@Override
	public LoadReport aged(long millis) {
		return new LoadReport(this.engine, this.origin, this.version, millis, this.running, this.queued,
				this.batchLimit, this.stepMicros);
	}

}
