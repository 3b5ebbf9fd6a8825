package org.mulberrycross.sibling;

/**
 * Load of an engine as observed by one daemon. Immutable and thread-safe.
 *
 * @param engine the name of the engine
 * @param origin the name of the daemon that observed the engine
 * @param version the version, comparable between reports of one origin only
 * @param ageMillis the time since the observation, in milliseconds
 * @param running the number of steps in the current batch
 * @param queued the number of steps that wait for a batch
 * @param batchLimit the maximum batch size, in steps
 * @param stepMicros the duration of one batch step in microseconds
 */
public record LoadReport(String engine, String origin, long version, long ageMillis, int running, int queued,
		int batchLimit, long stepMicros) implements EngineReport<LoadReport> {

	@Override
	public LoadReport withAge(long newAgeMillis) {
		return new LoadReport(this.engine, this.origin, this.version, newAgeMillis, this.running, this.queued,
				this.batchLimit, this.stepMicros);
	}

}
