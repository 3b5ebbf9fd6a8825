package org.mulberrycross.engine;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Bounds on the wait for a step, derived from the expected step time. Immutable and
 * thread-safe.
 *
 * @param floor the shortest timeout; covers pauses of this process and of the network
 * @param ceiling the longest timeout, used also while the engine's step time is unknown
 */
public record StepTimeouts(Duration floor, Duration ceiling) {

	/**
	 * Multiple of the expected time that counts as lack of progress. A load report can be
	 * several batches old when the step arrives.
	 */
	private static final long FACTOR = 8;

	/** Positions of a prompt that an engine is taken to run in the time of one step. */
	private static final int POSITIONS_PER_STEP = 32;

	/**
	 * Creates timeouts.
	 * @param floor the shortest timeout, not null
	 * @param ceiling the longest timeout, not null
	 */
	public StepTimeouts {
		Objects.requireNonNull(floor, "floor");
		Objects.requireNonNull(ceiling, "ceiling");
	}

	/**
	 * Returns the timeout of a step.
	 * @param load the last known load of the engine, empty if unknown
	 * @param positions the number of positions of the step, 1 or more
	 * @return the timeout, between the floor and the ceiling; the ceiling if the floor is
	 * above it
	 */
	public Duration timeout(Optional<EngineLoad> load, int positions) {
		return load.map((report) -> bounded(expectedMicros(report, positions) * FACTOR)).orElse(this.ceiling);
	}

	private static long expectedMicros(EngineLoad load, int positions) {
		long batchesBefore = (load.queued() + load.running()) / Math.max(1, load.batchLimit());
		return load.stepMicros() * (1 + batchesBefore + positions / POSITIONS_PER_STEP);
	}

	private Duration bounded(long micros) {
		long least = Math.max(this.floor.toNanos(), micros * 1000);
		return Duration.ofNanos(Math.min(this.ceiling.toNanos(), least));
	}

}
