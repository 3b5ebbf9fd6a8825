package org.mulberrycross.engine;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the stages of a route. Implementations are pure apart from the random numbers
 * that they draw.
 */
@FunctionalInterface
public interface RoutePolicy {

	/**
	 * Chooses stages that cover the requested layers exactly once, in order.
	 * @param request what to cover, not null
	 * @param view the engines, not null
	 * @param random the source of random numbers, not null
	 * @return the stages, or empty if the available engines do not cover the layers
	 */
	Optional<List<Stage>> choose(RouteRequest request, EngineView view, RandomGenerator random);

}
