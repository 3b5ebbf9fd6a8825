package org.mulberrycross.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/**
 * Route policies that serve as baselines in measurements. Thread-safe.
 */
public final class RoutePolicies {

	private RoutePolicies() {
	}

	/**
	 * Returns the policy that takes any candidate at random for each stage.
	 * @return the policy
	 */
	public static RoutePolicy random() {
		return (request, view, random) -> chain(request, view,
				(candidates) -> candidates.get(random.nextInt(candidates.size())));
	}

	/**
	 * Returns the policy that takes the candidates in turn.
	 * @return the policy, with a counter of its own
	 */
	public static RoutePolicy roundRobin() {
		AtomicLong next = new AtomicLong();
		return (request, view, random) -> {
			long turn = next.getAndIncrement();
			return chain(request, view, (candidates) -> candidates.get((int) (turn % candidates.size())));
		};
	}

	/**
	 * Returns the policy that takes the candidate with the fewest streams of this daemon,
	 * at random among equals.
	 * @return the policy
	 */
	public static RoutePolicy leastOutstanding() {
		return (request, view, random) -> chain(request, view, (candidates) -> leastOutstanding(candidates, random));
	}

	private static EngineState leastOutstanding(List<EngineState> candidates, RandomGenerator random) {
		int least = candidates.stream()
			.min(Comparator.comparingInt(EngineState::outstanding))
			.orElseThrow()
			.outstanding();
		List<EngineState> equals = candidates.stream().filter((engine) -> engine.outstanding() == least).toList();
		return equals.get(random.nextInt(equals.size()));
	}

	private static Optional<List<Stage>> chain(RouteRequest request, EngineView view, CandidateChoice choice) {
		List<Stage> stages = new ArrayList<>();
		int layer = request.layers().first();
		while (layer < request.layers().end()) {
			List<EngineState> candidates = view.candidates(request, layer);
			if (candidates.isEmpty()) {
				return Optional.empty();
			}
			EngineState engine = choice.choose(candidates);
			int end = Math.min(engine.layers().end(), request.layers().end());
			stages.add(new Stage(engine.name(), engine.address(), new LayerRange(layer, end)));
			layer = end;
		}
		return Optional.of(stages);
	}

	/**
	 * Chooses one engine for a stage.
	 */
	@FunctionalInterface
	private interface CandidateChoice {

		EngineState choose(List<EngineState> candidates);

	}

}
