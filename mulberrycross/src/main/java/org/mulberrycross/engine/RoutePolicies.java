package org.mulberrycross.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/**
 * Simple route policies, as baselines for {@link ExpectedTimePolicy}. Thread-safe.
 */
public final class RoutePolicies {

	private RoutePolicies() {
	}

	/**
	 * Returns a policy that chooses a random candidate for each stage.
	 * @return a stateless policy
	 */
	public static RoutePolicy random() {
		return (request, view, random) -> chooseStages(request, view,
				(candidates) -> candidates.get(random.nextInt(candidates.size())));
	}

	/**
	 * Returns a policy that chooses the candidates in turn, one turn per route.
	 * @return a policy with its own counter
	 */
	public static RoutePolicy roundRobin() {
		AtomicLong next = new AtomicLong();
		return (request, view, random) -> {
			long turn = next.getAndIncrement();
			return chooseStages(request, view, (candidates) -> candidates.get((int) (turn % candidates.size())));
		};
	}

	/**
	 * Returns a policy that chooses the candidate with the fewest outstanding streams of
	 * this daemon, at random among ties.
	 * @return a stateless policy
	 */
	public static RoutePolicy leastOutstanding() {
		return (request, view, random) -> chooseStages(request, view,
				(candidates) -> selectLeastOutstanding(candidates, random));
	}

	private static EngineState selectLeastOutstanding(List<EngineState> candidates, RandomGenerator random) {
		int minOutstanding = candidates.stream()
			.min(Comparator.comparingInt(EngineState::outstanding))
			.orElseThrow()
			.outstanding();
		List<EngineState> ties = candidates.stream()
			.filter((engine) -> engine.outstanding() == minOutstanding)
			.toList();
		return ties.get(random.nextInt(ties.size()));
	}

	private static Optional<List<Stage>> chooseStages(RouteRequest request, EngineView view,
			CandidateSelector selector) {
		List<Stage> stages = new ArrayList<>();
		int layer = request.layers().first();
		while (layer < request.layers().end()) {
			List<EngineState> candidates = view.candidates(request, layer);
			if (candidates.isEmpty()) {
				return Optional.empty();
			}
			EngineState engine = selector.select(candidates);
			int end = Math.min(engine.layers().end(), request.layers().end());
			stages.add(new Stage(engine.name(), engine.address(), new LayerRange(layer, end)));
			layer = end;
		}
		return Optional.of(stages);
	}

	/**
	 * Selects one engine for a stage; the candidates are not empty.
	 */
	@FunctionalInterface
	private interface CandidateSelector {

		EngineState select(List<EngineState> candidates);

	}

}
