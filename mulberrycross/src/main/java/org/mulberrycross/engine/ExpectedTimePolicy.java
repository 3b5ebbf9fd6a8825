package org.mulberrycross.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the route with the least expected time per token among a few random ones. For
 * each random route, each stage is the best of a few random candidates by expected time
 * per layer, since candidates may hold different ranges of layers. The random draws keep
 * daemons with the same load reports from choosing the same engines. Immutable and
 * thread-safe.
 */
public final class ExpectedTimePolicy implements RoutePolicy {

	/** Time constant of the trust in a load report: reports come with each step. */
	private static final double REPORT_TRUST_NANOS = 1e9;

	/** Batch limit assumed for an engine without a report. */
	private static final int ASSUMED_BATCH_LIMIT = 8;

	/**
	 * Choice among whole routes. In the served-system model at capacity, the p95 time to
	 * first token of short work was 86 ms with one candidate for each stage and four
	 * routes, 89 ms with 2 and 1, 93 ms with 1 and 2, and 96 ms with 2 and 2.
	 */
	private static final int STAGE_CANDIDATES = 1;

	private static final int ROUTES = 4;

	private final int stageCandidates;

	private final int routes;

	/**
	 * Creates the policy with the numbers of draws that measured best.
	 */
	public ExpectedTimePolicy() {
		this(STAGE_CANDIDATES, ROUTES);
	}

	/**
	 * Creates a policy.
	 * @param stageCandidates the number of random candidates for each stage, 1 or more
	 * @param routes the number of random routes, 1 or more
	 */
	public ExpectedTimePolicy(int stageCandidates, int routes) {
		if (stageCandidates < 1 || routes < 1) {
			throw new IllegalArgumentException("stageCandidates " + stageCandidates + ", routes " + routes);
		}
		this.stageCandidates = stageCandidates;
		this.routes = routes;
	}

	@Override
	public Optional<List<Stage>> choose(RouteRequest request, EngineView view, RandomGenerator random) {
		Objects.requireNonNull(request, "request");
		Optional<Chain> best = Optional.empty();
		for (int i = 0; i < this.routes; i++) {
			Optional<Chain> chain = chain(request, view, random);
			if (chain.isEmpty()) {
				return Optional.empty();
			}
			if (best.isEmpty() || chain.get().micros() < best.get().micros()) {
				best = chain;
			}
		}
		return best.map(Chain::stages);
	}

	/**
	 * Draws a route. A dead end is possible only if no engine has a place for some layer,
	 * since each candidate covers at least the next layer.
	 * @param request what to cover
	 * @param view the engines
	 * @param random the source of random numbers
	 * @return the route, or empty if a layer has no candidate
	 */
	private Optional<Chain> chain(RouteRequest request, EngineView view, RandomGenerator random) {
		List<Stage> stages = new ArrayList<>();
		double micros = 0;
		int layer = request.layers().first();
		while (layer < request.layers().end()) {
			List<EngineState> candidates = view.candidates(request, layer);
			if (candidates.isEmpty()) {
				return Optional.empty();
			}
			EngineState best = null;
			double bestMicros = 0;
			for (int i = 0; i < this.stageCandidates; i++) {
				EngineState engine = candidates.get(random.nextInt(candidates.size()));
				double engineMicros = micros(engine, layers(engine, request, layer), request, view.nanos());
				double perLayer = engineMicros / layers(engine, request, layer).size();
				if (best == null || perLayer < bestMicros / layers(best, request, layer).size()) {
					best = engine;
					bestMicros = engineMicros;
				}
			}
			LayerRange layers = layers(best, request, layer);
			stages.add(new Stage(best.name(), best.address(), layers));
			micros += bestMicros;
			layer = layers.end();
		}
		return Optional.of(new Chain(stages, micros));
	}

	private static LayerRange layers(EngineState engine, RouteRequest request, int layer) {
		return new LayerRange(layer, Math.min(engine.layers().end(), request.layers().end()));
	}

	/**
	 * Returns the expected time of one step: link time, wait for a batch, and the step at
	 * the batch that the request would join. The number of steps at the engine comes from
	 * the last report and the change in own streams since, and the older the report is,
	 * the more from own streams alone. A stream is at one of its stages at a time, in
	 * proportion to the stage's layers.
	 * @param engine the engine
	 * @param layers the layers that it would run
	 * @param request what the route covers
	 * @param nanos the time of the view
	 * @return the time in microseconds
	 */
	private static double micros(EngineState engine, LayerRange layers, RouteRequest request, long nanos) {
		EngineEstimate estimate = engine.estimate();
		double presence = (double) layers.size() / request.layers().size();
		double own = presence * engine.outstanding();
		int batchLimit = engine.load().map(EngineLoad::batchLimit).orElse(ASSUMED_BATCH_LIMIT);
		double reported = engine.load()
			.map((load) -> load.running() + load.queued()
					+ presence * (engine.outstanding() - estimate.outstandingAtLoad()))
			.orElse(own);
		double trust = Math.exp(-Math.max(0, nanos - engine.loadNanos()) / REPORT_TRUST_NANOS);
		double present = Math.max(0, trust * reported + (1 - trust) * own);
		double stepMicros = estimate.stepTimes().micros(Math.min(batchLimit, present + 1));
		return estimate.linkMicros() + stepMicros * (1 + present / Math.max(1, batchLimit));
	}

	/**
	 * A route and its expected time per token.
	 *
	 * @param stages the stages
	 * @param micros the expected time, in microseconds
	 */
	private record Chain(List<Stage> stages, double micros) {

	}

}
