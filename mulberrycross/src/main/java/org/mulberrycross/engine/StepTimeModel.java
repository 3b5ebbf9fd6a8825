package org.mulberrycross.engine;

/**
 * Step time of an engine as a linear function of the batch size, fitted to samples with
 * exponentially decaying weights. Immutable and thread-safe.
 *
 * @param sampleCount the number of samples
 * @param meanBatch the mean batch size
 * @param meanMicros the mean step time, in microseconds
 * @param batchVariance the variance of the batch size
 * @param covariance the covariance of batch size and step time
 */
public record StepTimeModel(long sampleCount, double meanBatch, double meanMicros, double batchVariance,
		double covariance) {

	/** Step time until the first sample; close to that of the engines in use. */
	private static final double INITIAL_MICROS = 10_000;

	private static final double SMOOTHING_FACTOR = 0.1;

	/** With less variance in the batch sizes, the fitted slope would be noise. */
	private static final double MIN_BATCH_VARIANCE = 0.5;

	/**
	 * Returns the model without any samples.
	 * @return the model
	 */
	public static StepTimeModel initial() {
		return new StepTimeModel(0, 0, INITIAL_MICROS, 0, 0);
	}

	/**
	 * Returns this model updated by a sample.
	 * @param batchSize the number of steps in the batch
	 * @param micros the time of the batch, in microseconds
	 * @return the updated model
	 */
	public StepTimeModel withSample(double batchSize, double micros) {
		if (this.sampleCount == 0) {
			return new StepTimeModel(1, batchSize, micros, 0, 0);
		}
		double batchError = batchSize - this.meanBatch;
		double microsError = micros - this.meanMicros;
		return new StepTimeModel(this.sampleCount + 1, this.meanBatch + SMOOTHING_FACTOR * batchError,
				this.meanMicros + SMOOTHING_FACTOR * microsError,
				(1 - SMOOTHING_FACTOR) * (this.batchVariance + SMOOTHING_FACTOR * batchError * batchError),
				(1 - SMOOTHING_FACTOR) * (this.covariance + SMOOTHING_FACTOR * batchError * microsError));
	}

	/**
	 * Returns the expected step time at a batch size.
	 * @param batchSize the batch size
	 * @return the time in microseconds, at least half of the mean, since the fit is
	 * uncertain far from the sampled batch sizes
	 */
	public double expectedMicros(double batchSize) {
		double slope = (this.batchVariance < MIN_BATCH_VARIANCE) ? 0
				: Math.max(0, this.covariance / this.batchVariance);
		return Math.max(this.meanMicros / 2, this.meanMicros + slope * (batchSize - this.meanBatch));
	}

}
