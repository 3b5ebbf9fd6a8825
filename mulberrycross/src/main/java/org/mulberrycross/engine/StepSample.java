package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Measurements of the steps of one engine over an interval. Immutable and thread-safe.
 *
 * @param stepCount the number of steps, 1 or more
 * @param load the load in the last reply, not null
 * @param replyNanos the time of that reply on the daemon's monotonic clock
 * @param runningSum the sum of the reported batch sizes
 * @param queuedSum the sum of the reported queue lengths, in steps
 * @param minLinkMicros the minimum difference between the round trip of a step and the
 * engine's step time, in microseconds; the minimum excludes the wait for a batch
 */
public record StepSample(int stepCount, EngineLoad load, long replyNanos, long runningSum, long queuedSum,
		long minLinkMicros) {

	/**
	 * Creates a sample.
	 * @param stepCount the number of steps, 1 or more
	 * @param load the load in the last reply, not null
	 * @param replyNanos the time of that reply on the daemon's monotonic clock
	 * @param runningSum the sum of the reported batch sizes
	 * @param queuedSum the sum of the reported queue lengths
	 * @param minLinkMicros the minimum time of a step outside the engine
	 */
	public StepSample {
		Objects.requireNonNull(load, "load");
	}

	/**
	 * Returns the sample of one step.
	 * @param load the load in the reply, not null
	 * @param replyNanos the time of the reply on the daemon's monotonic clock
	 * @param roundTripMicros the round trip of the step, in microseconds
	 * @return the sample
	 */
	public static StepSample of(EngineLoad load, long replyNanos, long roundTripMicros) {
		return new StepSample(1, load, replyNanos, load.running(), load.queued(),
				Math.max(0, roundTripMicros - load.stepMicros()));
	}

	/**
	 * Combines this sample with a later one of the same engine.
	 * @param later the later sample, not null
	 * @return the sample of both intervals
	 */
	public StepSample plus(StepSample later) {
		return new StepSample(this.stepCount + later.stepCount, later.load, later.replyNanos,
				this.runningSum + later.runningSum, this.queuedSum + later.queuedSum,
				Math.min(this.minLinkMicros, later.minLinkMicros));
	}

	/**
	 * Returns the mean batch size.
	 * @return the mean, in steps
	 */
	public double meanRunning() {
		return (double) this.runningSum / this.stepCount;
	}

	/**
	 * Returns the mean queue length.
	 * @return the mean, in steps
	 */
	public double meanQueued() {
		return (double) this.queuedSum / this.stepCount;
	}

}
