package org.mulberrycross.engine;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * A decision to move a stream to another path. Immutable and thread-safe.
 *
 * @param stream the stream, not null
 * @param cause why it is moved, not null
 * @param culpritId the id of the engine at fault, or empty if there are several
 * candidates, not null
 * @param candidateIds the ids of the engines of its path of which nothing has been seen
 * since it is silent, not null
 * @param silenceNanos the silence, in nanoseconds
 * @param thresholdNanos the silence that is significant for the stream, in nanoseconds
 * @param restart the expected time until the next event, not null
 */
public record StreamMove(ObservedStream stream, MoveCause cause, Optional<String> culpritId, Set<String> candidateIds,
		long silenceNanos, double thresholdNanos, RestartEstimate restart) {

	/**
	 * Creates a move.
	 * @param stream the stream, not null
	 * @param cause why it is moved, not null
	 * @param culpritId the id of the engine at fault, or empty, not null
	 * @param candidateIds the ids of the engines that may be at fault, not null
	 * @param silenceNanos the silence, in nanoseconds
	 * @param thresholdNanos the significant silence, in nanoseconds
	 * @param restart the expected time until the next event, not null
	 */
	public StreamMove {
		Objects.requireNonNull(stream, "stream");
		Objects.requireNonNull(cause, "cause");
		Objects.requireNonNull(culpritId, "culpritId");
		candidateIds = Set.copyOf(candidateIds);
		Objects.requireNonNull(restart, "restart");
	}

}
