package org.mulberrycross.engine;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the stages of a route. Implementations have no side effects, except for drawing
 * random numbers and advancing counters of their own.
 */
@FunctionalInterface
public interface RoutePolicy {

	/**
	 * Chooses stages that cover the requested layers exactly once, in order.
	 * @param request the request for a route, not null
	 * @param view the snapshot of the engines to choose from, not null
	 * @param random the source of random numbers, not null
	 * @return the stages, or empty if the available engines do not cover the layers
	 */
	Optional<List<Stage>> choose(RouteRequest request, EngineView view, RandomGenerator random);

}
