package org.mulberrycross.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

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

	// Finds the cheapest chain over layer boundaries. A boundary keeps the cheapest chain
	// for each data centre, so that the work grows with the number of engines.
	private Optional<EnginePath> shortest(List<Candidate> candidates, double hopMillis) {
		int layers = this.profile.layers();
		Map<Integer, List<Candidate>> byEnd = candidates.stream()
			.collect(Collectors.groupingBy((candidate) -> candidate.layers().end()));
		List<Boundary> boundaries = new ArrayList<>(layers + 1);
		boundaries.add(new Boundary(true));
		for (int end = 1; end <= layers; end++) {
			Boundary boundary = new Boundary(false);
			for (Candidate candidate : byEnd.getOrDefault(end, List.of())) {
				cheapest(candidate, boundaries, hopMillis).ifPresent(boundary::offer);
			}
			boundaries.add(boundary);
		}
		return boundaries.get(layers).cheapest().map(Chain::path);
	}

	// Returns the cheapest chain that ends with an engine, which runs up to its own end.
	private static Optional<Chain> cheapest(Candidate last, List<Boundary> boundaries, double hopMillis) {
		double least = Double.POSITIVE_INFINITY;
		int start = -1;
		for (int first = last.layers().first(); first < last.layers().end(); first++) {
			double millis = boundaries.get(first).millisTo(last.dataCentre())
					+ last.layerMillis() * (last.layers().end() - first);
			if (millis < least) {
				least = millis;
				start = first;
			}
		}
		if (start < 0) {
			return Optional.empty();
		}
		return Optional.of(new Chain(last, start, boundaries.get(start).chainTo(last.dataCentre()),
				least + last.waitMillis() + hopMillis));
	}

	/**
	 * An engine with the time that it takes for one layer of the request, and the time
	 * until it comes to the request.
	 */
	private record Candidate(EngineInstance engine, LayerRange layers, double layerMillis, double waitMillis) {

		String dataCentre() {
			return this.engine.upstream().dataCentre();
		}

	}

	/**
	 * Engines that run all layers below a boundary: the last one from {@code start} on,
	 * the others before it.
	 */
	private record Chain(Candidate last, int start, Optional<Chain> before, double millis, int length) {

		Chain(Candidate last, int start, Optional<Chain> before, double millis) {
			this(last, start, before, millis, before.map(Chain::length).orElse(0) + 1);
		}

		// Returns the time including the step to an engine of a data centre.
		double millisTo(String dataCentre) {
			return this.millis + (this.last.dataCentre().equals(dataCentre) ? 0 : CROSSING_MILLIS);
		}

		EnginePath path() {
			List<PathStage> stages = new ArrayList<>();
			Optional<Chain> chain = Optional.of(this);
			while (chain.isPresent()) {
				Candidate engine = chain.get().last();
				stages.add(new PathStage(engine.engine(), new LayerRange(chain.get().start(), engine.layers().end())));
				chain = chain.get().before();
			}
			Collections.reverse(stages);
			return new EnginePath(stages);
		}

	}

	/**
	 * The cheapest chains that end at a boundary between layers.
	 */
	private static final class Boundary {

		private final boolean first;

		private final Map<String, Chain> byDataCentre = new HashMap<>();

		/** Cheapest chain for an engine of a data centre that follows. */
		private final Map<String, Optional<Chain>> next = new HashMap<>();

		Boundary(boolean first) {
			this.first = first;
		}

		void offer(Chain chain) {
			this.byDataCentre.merge(chain.last().dataCentre(), chain,
					(left, right) -> (right.millis() < left.millis()) ? right : left);
		}

		Optional<Chain> cheapest() {
			return this.byDataCentre.values().stream().min(Comparator.comparingDouble(Chain::millis));
		}

		// Returns the chain that an engine of a data centre follows best, if any.
		Optional<Chain> chainTo(String dataCentre) {
			return this.next.computeIfAbsent(dataCentre,
					(name) -> this.byDataCentre.values()
						.stream()
						.filter((chain) -> chain.length() < MAX_STAGES)
						.min(Comparator.comparingDouble((chain) -> chain.millisTo(name))));
		}

		// Returns the time until an engine of a data centre can follow, infinite if
		// never.
		double millisTo(String dataCentre) {
			if (this.first) {
				return 0;
			}
			Optional<Chain> chain = chainTo(dataCentre);
			return chain.isPresent() ? chain.get().millisTo(dataCentre) : Double.POSITIVE_INFINITY;
		}

	}

}
