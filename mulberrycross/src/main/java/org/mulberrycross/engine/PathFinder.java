package org.mulberrycross.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Finds the path with the least expected time for a request. Immutable and thread-safe.
 */
public final class PathFinder {

	/** Time that a token spends on the way between two engines of a data centre. */
	private static final double HOP_MILLIS = 0.3;

	/**
	 * Charge for a step to another data centre. Activations of all requests share one
	 * pipe, which a few requests a second fill, so that a path leaves its data centre
	 * only if there is no other.
	 */
	private static final double CROSSING_MILLIS = 20_000;

	/** Longest path that engines accept. */
	private static final int MAX_STAGES = 32;

	/**
	 * Relative spread that is put on expected times, so that daemons with the same view
	 * do not all choose the same of two equal paths.
	 */
	private static final double SPREAD = 0.1;

	private final EngineProfile profile;

	/**
	 * Creates a finder.
	 * @param profile the model and its engines, not null
	 */
	public PathFinder(EngineProfile profile) {
		this.profile = Objects.requireNonNull(profile, "profile");
	}

	/**
	 * Finds a path.
	 * @param engines the engines that may be used, not null
	 * @param tokens the prompt tokens and the output tokens of the request
	 * @param slowdown the factor by which an engine is expected to be slower than when it
	 * is idle, at least 1; infinite if it has no room, not null
	 * @param waitingTokens the prompt tokens that an engine has to read before those of
	 * the request, not null
	 * @param random the source of random numbers, not null
	 * @return the path, or empty if the engines do not hold all layers
	 */
	public Optional<EnginePath> find(Collection<EngineInstance> engines, RequestTokens tokens,
			ToDoubleFunction<EngineInstance> slowdown, ToDoubleFunction<EngineInstance> waitingTokens,
			RandomGenerator random) {
		List<Candidate> candidates = new ArrayList<>();
		for (EngineInstance engine : engines) {
			Optional<AcceleratorKind> kind = this.profile.kind(engine);
			double factor = slowdown.applyAsDouble(engine) * (1 + SPREAD * random.nextDouble());
			if (engine.layers().isPresent() && kind.isPresent() && Double.isFinite(factor)) {
				RequestTokens before = new RequestTokens(waitingTokens.applyAsDouble(engine), 0);
				LayerRange held = engine.layers().get();
				candidates.add(new Candidate(engine, held, factor * layerMillis(kind.get(), tokens),
						held.size() * layerMillis(kind.get(), before)));
			}
		}
		return shortest(candidates, HOP_MILLIS * (tokens.output() + 1));
	}

	private double layerMillis(AcceleratorKind kind, RequestTokens tokens) {
		double steps = tokens.output() * this.profile.stepMillis() * kind.stepFactor();
		double reading = tokens.prompt() / this.profile.readTokensPerMillis() * kind.readFactor();
		return (steps + reading) / this.profile.layers();
	}

	// Finds the cheapest chain over layer boundaries. best[b][c] is the cheapest way to
	// have run the
	// layers below b, with candidate c last.
	private Optional<EnginePath> shortest(List<Candidate> candidates, double hopMillis) {
		int layers = this.profile.layers();
		int count = candidates.size();
		double[][] best = new double[layers + 1][count];
		int[][] from = new int[layers + 1][count];
		int[][] previous = new int[layers + 1][count];
		int[][] length = new int[layers + 1][count];
		for (double[] row : best) {
			Arrays.fill(row, Double.POSITIVE_INFINITY);
		}
		for (int end = 1; end <= layers; end++) {
			for (int c = 0; c < count; c++) {
				Candidate candidate = candidates.get(c);
				// Ranges are used up to their own end, or to the end of the model.
				if (candidate.layers().end() != end) {
					continue;
				}
				for (int start = candidate.layers().first(); start < end; start++) {
					double own = candidate.layerMillis() * (end - start) + candidate.waitMillis() + hopMillis;
					if (start == 0) {
						if (own < best[end][c]) {
							best[end][c] = own;
							from[end][c] = 0;
							previous[end][c] = -1;
							length[end][c] = 1;
						}
						continue;
					}
					for (int p = 0; p < count; p++) {
						if (p == c || best[start][p] == Double.POSITIVE_INFINITY || length[start][p] >= MAX_STAGES) {
							continue;
						}
						double cost = best[start][p] + own + crossing(candidates.get(p), candidate);
						if (cost < best[end][c]) {
							best[end][c] = cost;
							from[end][c] = start;
							previous[end][c] = p;
							length[end][c] = length[start][p] + 1;
						}
					}
				}
			}
		}
		int last = -1;
		for (int c = 0; c < count; c++) {
			if (best[layers][c] < Double.POSITIVE_INFINITY && (last < 0 || best[layers][c] < best[layers][last])) {
				last = c;
			}
		}
		return (last >= 0) ? Optional.of(path(candidates, from, previous, last)) : Optional.empty();
	}

	private static double crossing(Candidate left, Candidate right) {
		return left.engine().upstream().dataCentre().equals(right.engine().upstream().dataCentre()) ? 0
				: CROSSING_MILLIS;
	}

	private EnginePath path(List<Candidate> candidates, int[][] from, int[][] previous, int last) {
		List<PathStage> stages = new ArrayList<>();
		int end = this.profile.layers();
		int c = last;
		while (c >= 0) {
			int start = from[end][c];
			int before = previous[end][c];
			stages.add(new PathStage(candidates.get(c).engine(), new LayerRange(start, end)));
			end = start;
			c = before;
		}
		Collections.reverse(stages);
		return new EnginePath(stages);
	}

	/**
	 * An engine with the time that it takes for one layer of the request, and the time
	 * until it comes to the request.
	 */
	private record Candidate(EngineInstance engine, LayerRange layers, double layerMillis, double waitMillis) {

	}

}
