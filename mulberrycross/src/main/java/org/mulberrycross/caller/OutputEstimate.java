package org.mulberrycross.caller;

/**
 * Estimated output length of a request. Immutable and thread-safe.
 *
 * @param expected the mean number of tokens, from which times follow
 * @param high the number of tokens that 95 in 100 outputs don't exceed, from which memory
 * follows
 */
public record OutputEstimate(double expected, double high) {
}
