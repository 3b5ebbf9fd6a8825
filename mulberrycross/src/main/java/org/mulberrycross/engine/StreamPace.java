package org.mulberrycross.engine;

/**
 * Usual pauses of a stream: moving averages of the pauses between its events and of their
 * deviation, and the longest one. Immutable and thread-safe.
 *
 * @param count the number of pauses
 * @param meanNanos the mean pause, in nanoseconds
 * @param deviationNanos the mean absolute deviation from it, in nanoseconds
 * @param longestNanos the longest pause, in nanoseconds
 */
public record StreamPace(long count, double meanNanos, double deviationNanos, double longestNanos) {

	/** Pauses from which on the averages describe the stream. */
	private static final int MIN_PAUSES = 6;

	/** Weight of a new pause, so that the averages cover about the last 16 pauses. */
	private static final double MIN_WEIGHT = 1.0 / 16;

	/**
	 * Deviations over the mean of a silence that several streams together make
	 * significant.
	 */
	private static final double NOTICEABLE_DEVIATIONS = 3;

	/** Multiple of the mean of a silence that is noticeable, however even the pace. */
	private static final double NOTICEABLE_MULTIPLE = 2;

	/** Deviations over the mean of a silence that is significant by itself. */
	private static final double SIGNIFICANT_DEVIATIONS = 8;

	/** Multiple of the longest pause of a silence that is significant by itself. */
	private static final double SIGNIFICANT_MULTIPLE = 1.5;

	/**
	 * Returns the pace of a stream without any pause yet.
	 * @return the pace
	 */
	public static StreamPace initial() {
		return new StreamPace(0, 0, 0, 0);
	}

	/**
	 * Returns this pace with another pause.
	 * @param nanos the pause, in nanoseconds
	 * @return the updated pace
	 */
	public StreamPace withPause(double nanos) {
		double weight = Math.max(1.0 / (this.count + 1), MIN_WEIGHT);
		double error = nanos - this.meanNanos;
		double deviation = (this.count == 0) ? 0
				: this.deviationNanos + weight * (Math.abs(error) - this.deviationNanos);
		return new StreamPace(this.count + 1, this.meanNanos + weight * error, deviation,
				Math.max(this.longestNanos, nanos));
	}

	/**
	 * Returns whether there were enough pauses to judge a silence by.
	 * @return true if the other values describe the stream
	 */
	public boolean isKnown() {
		return this.count >= MIN_PAUSES;
	}

	/**
	 * Returns the silence that is unusual, but not rare enough to be a fault unless other
	 * streams are silent as well.
	 * @return the time, in nanoseconds
	 */
	public double noticeableNanos() {
		return Math.max(this.meanNanos + NOTICEABLE_DEVIATIONS * this.deviationNanos,
				NOTICEABLE_MULTIPLE * this.meanNanos);
	}

	/**
	 * Returns the silence that is a fault even if this stream alone is silent.
	 * @return the time, in nanoseconds
	 */
	public double significantNanos() {
		return Math.max(noticeableNanos(), Math.max(this.meanNanos + SIGNIFICANT_DEVIATIONS * this.deviationNanos,
				SIGNIFICANT_MULTIPLE * this.longestNanos));
	}

}
