package org.mulberrycross.engine;

/**
 * Step time of an engine as a straight line over the batch size, learnt from reports with
 * more weight on recent ones. Immutable and thread-safe.
 *
 * @param reports the number of reports learnt
 * @param meanBatch the mean batch size
 * @param meanMicros the mean step time, in microseconds
 * @param variance the variance of the batch size
 * @param covariance the covariance of batch size and step time
 */
public record StepTimes(long reports, double meanBatch, double meanMicros, double variance, double covariance) {

	/** Assumed until the first report; near the step time of the engines in use. */
	private static final double INITIAL_MICROS = 10_000;

	private static final double GAIN = 0.1;

	/** Below this spread of batch sizes a slope would be noise. */
	private static final double MIN_VARIANCE = 0.5;

	/**
	 * Returns step times without reports.
	 * @return the step times
	 */
	public static StepTimes initial() {
		return new StepTimes(0, 0, INITIAL_MICROS, 0, 0);
	}

	/**
	 * Learns from a report.
	 * @param batch the number of steps in the batch
	 * @param micros the time of the batch, in microseconds
	 * @return the changed step times
	 */
	public StepTimes learn(double batch, double micros) {
		if (this.reports == 0) {
			return new StepTimes(1, batch, micros, 0, 0);
		}
		double batchError = batch - this.meanBatch;
		double microsError = micros - this.meanMicros;
		return new StepTimes(this.reports + 1, this.meanBatch + GAIN * batchError, this.meanMicros + GAIN * microsError,
				(1 - GAIN) * (this.variance + GAIN * batchError * batchError),
				(1 - GAIN) * (this.covariance + GAIN * batchError * microsError));
	}

	/**
	 * Returns the expected step time at a batch size.
	 * @param batch the batch size
	 * @return the time in microseconds; never less than half of the mean, since the line
	 * is uncertain far from the reported batch sizes
	 */
	public double micros(double batch) {
		double slope = (this.variance < MIN_VARIANCE) ? 0 : Math.max(0, this.covariance / this.variance);
		return Math.max(this.meanMicros / 2, this.meanMicros + slope * (batch - this.meanBatch));
	}

}
