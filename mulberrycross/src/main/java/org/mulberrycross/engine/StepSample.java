package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Steps of one engine that were measured since the last sample was taken. Immutable and
 * thread-safe.
 *
 * @param steps the number of steps, 1 or more
 * @param load the load in the last reply, not null
 * @param nanos the time of that reply on the daemon's monotonic clock
 * @param runningSum the sum of the reported batch sizes
 * @param queuedSum the sum of the reported numbers of waiting steps
 * @param leastLinkMicros the least difference between the round trip of a step and the
 * engine's step time, in microseconds; the least one holds no wait for a batch
 */
public record StepSample(int steps, EngineLoad load, long nanos, long runningSum, long queuedSum,
		long leastLinkMicros) {

	/**
	 * Creates a sample.
	 * @param steps the number of steps
	 * @param load the load in the last reply, not null
	 * @param nanos the time of that reply
	 * @param runningSum the sum of the reported batch sizes
	 * @param queuedSum the sum of the reported numbers of waiting steps
	 * @param leastLinkMicros the least link time
	 */
	public StepSample {
		Objects.requireNonNull(load, "load");
	}

	/**
	 * Returns the sample of one step.
	 * @param load the load in the reply, not null
	 * @param nanos the time of the reply
	 * @param roundTripMicros the round trip of the step, in microseconds
	 * @return the sample
	 */
	public static StepSample of(EngineLoad load, long nanos, long roundTripMicros) {
		return new StepSample(1, load, nanos, load.running(), load.queued(),
				Math.max(0, roundTripMicros - load.stepMicros()));
	}

	/**
	 * Adds a later sample.
	 * @param later the later sample, not null
	 * @return the sum
	 */
	public StepSample plus(StepSample later) {
		return new StepSample(this.steps + later.steps, later.load, later.nanos, this.runningSum + later.runningSum,
				this.queuedSum + later.queuedSum, Math.min(this.leastLinkMicros, later.leastLinkMicros));
	}

	/**
	 * Returns the mean batch size.
	 * @return the mean
	 */
	public double meanRunning() {
		return (double) this.runningSum / this.steps;
	}

	/**
	 * Returns the mean number of waiting steps.
	 * @return the mean
	 */
	public double meanQueued() {
		return (double) this.queuedSum / this.steps;
	}

}
