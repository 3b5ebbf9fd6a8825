package org.mulberrycross.engine;

import java.util.Optional;
import java.util.Set;

/**
 * Estimates how long a stream pauses if it is moved. Implementations are confined to the
 * control thread.
 */
@FunctionalInterface
public interface RestartEstimator {

	/**
	 * Returns the time until the first event on another path.
	 * @param stream the stream to move, not null
	 * @param avoidedIds the ids of the engines that may be silent, not null
	 * @return the estimate, or empty if no other path can take the stream
	 */
	Optional<RestartEstimate> estimate(ObservedStream stream, Set<String> avoidedIds);

}
