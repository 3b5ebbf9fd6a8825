package org.mulberrycross.engine;

/**
 * Expected time from sending a stream to another path until its next event. Immutable and
 * thread-safe.
 *
 * @param meanNanos the expected time, in nanoseconds
 * @param deviationNanos the mean deviation from it, in nanoseconds
 */
public record RestartEstimate(double meanNanos, double deviationNanos) {

}
