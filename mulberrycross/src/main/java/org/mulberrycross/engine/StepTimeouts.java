package org.mulberrycross.engine;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Computes the timeout of a step from its expected time. Immutable and thread-safe.
 *
 * @param floor the minimum timeout; covers pauses of this process and of the network
 * @param ceiling the maximum timeout, also used while the engine's step time is unknown
 */
public record StepTimeouts(Duration floor, Duration ceiling) {

	/**
	 * Timeout as a multiple of the expected time. It is large because a load report can
	 * be several batches old when the step arrives.
	 */
	private static final long TIMEOUT_MULTIPLE = 8;

	/** Number of prompt positions assumed to run in the time of one step. */
	private static final int PROMPT_POSITIONS_PER_STEP_TIME = 32;

	/**
	 * Creates timeouts.
	 * @param floor the minimum timeout, not null
	 * @param ceiling the maximum timeout, not null
	 */
	public StepTimeouts {
		Objects.requireNonNull(floor, "floor");
		Objects.requireNonNull(ceiling, "ceiling");
	}

	/**
	 * Returns the timeout of a step.
	 * @param load the last known load of the engine, empty if unknown
	 * @param positions the number of positions of the step, 1 or more
	 * @return the timeout, at least the floor, but never above the ceiling
	 */
	public Duration timeout(Optional<EngineLoad> load, int positions) {
		return load.map((report) -> clamp(expectedMicros(report, positions) * TIMEOUT_MULTIPLE)).orElse(this.ceiling);
	}

	private static long expectedMicros(EngineLoad load, int positions) {
		long batchesAhead = (load.queued() + load.running()) / Math.max(1, load.batchLimit());
		return load.stepMicros() * (1 + batchesAhead + positions / PROMPT_POSITIONS_PER_STEP_TIME);
	}

	private Duration clamp(long micros) {
		long nanos = Math.max(this.floor.toNanos(), micros * 1000);
		return Duration.ofNanos(Math.min(this.ceiling.toNanos(), nanos));
	}

}
