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
 * Finds the path with the shortest expected processing time for a request. Immutable and
 * thread-safe.
 */
public final class PathFinder {

	/** Network latency of one token between two engines of the same data centre. */
	private static final double HOP_LATENCY_MILLIS = 0.3;

	/**
	 * Penalty for a hop to another data centre over a link without room. Activations of
	 * all requests share one link, which a few requests per second saturate, so a path
	 * leaves its data centre only if there is no alternative.
	 */
	public static final double CROSS_DATA_CENTRE_PENALTY_MILLIS = 20_000;

	/** Maximum number of stages in a path that engines accept. */
	private static final int MAX_STAGES = 32;

	/**
	 * Maximum relative jitter added to expected times, so that daemons with the same view
	 * do not all choose the same of two equally fast paths.
	 */
	private static final double JITTER_RATIO = 0.1;

	private final EngineProfile profile;

	/**
	 * Creates a finder.
	 * @param profile the model and its engines, not null
	 */
	public PathFinder(EngineProfile profile) {
		this.profile = Objects.requireNonNull(profile, "profile");
	}

	/**
	 * Finds the fastest path through all layers that leaves its data centre only if there
	 * is no alternative.
	 * @param engines the eligible engines, not null; those without layers or of an
	 * unknown kind are ignored
	 * @param tokens the size of the request, not null
	 * @param slowdown the factor by which an engine is expected to be slower than when
	 * idle, at least 1, or infinite if it is saturated; not null
	 * @param queuedPromptTokens the prompt tokens that an engine processes before those
	 * of the request, not null
	 * @param random the source of the jitter, not null
	 * @return the path, or empty if the engines cannot run all layers
	 */
	public Optional<EnginePath> find(Collection<EngineInstance> engines, RequestTokens tokens,
			ToDoubleFunction<EngineInstance> slowdown, ToDoubleFunction<EngineInstance> queuedPromptTokens,
			RandomGenerator random) {
		return find(engines, tokens, slowdown, queuedPromptTokens, CROSS_DATA_CENTRE_PENALTY_MILLIS, random);
	}

	/**
	 * Finds the fastest path through all layers.
	 * @param engines the eligible engines, not null; those without layers or of an
	 * unknown kind are ignored
	 * @param tokens the prompt tokens and the output tokens of the request, not null
	 * @param slowdown the factor by which an engine is expected to be slower than when
	 * idle, at least 1, or infinite if it is saturated; not null
	 * @param queuedPromptTokens the prompt tokens that an engine processes before those
	 * of the request, not null
	 * @param crossingMillis the time that a hop to another data centre adds, in
	 * milliseconds
	 * @param random the source of the jitter, not null
	 * @return the path, or empty if the engines cannot run all layers
	 */
	public Optional<EnginePath> find(Collection<EngineInstance> engines, RequestTokens tokens,
			ToDoubleFunction<EngineInstance> slowdown, ToDoubleFunction<EngineInstance> queuedPromptTokens,
			double crossingMillis, RandomGenerator random) {
		List<Candidate> candidates = new ArrayList<>();
		for (EngineInstance engine : engines) {
			Optional<AcceleratorKind> kind = this.profile.kind(engine);
			double jitteredSlowdown = slowdown.applyAsDouble(engine) * (1 + JITTER_RATIO * random.nextDouble());
			if (engine.layers().isPresent() && kind.isPresent() && Double.isFinite(jitteredSlowdown)) {
				RequestTokens queued = new RequestTokens(queuedPromptTokens.applyAsDouble(engine), 0);
				LayerRange held = engine.layers().get();
				candidates.add(new Candidate(engine, held, jitteredSlowdown * millisPerLayer(kind.get(), tokens),
						held.size() * millisPerLayer(kind.get(), queued)));
			}
		}
		return findCheapestPath(candidates, HOP_LATENCY_MILLIS * (tokens.output() + 1), crossingMillis);
	}

	/**
	 * Returns the expected processing time of a request on a path, as {@code find}
	 * computes it without jitter.
	 * @param path the path, not null
	 * @param tokens the size of the request, not null
	 * @param slowdown the factor by which an engine is expected to be slower than when
	 * idle, not null
	 * @param queuedPromptTokens the prompt tokens that an engine processes before those
	 * of the request, not null
	 * @param crossingMillis the time that a hop to another data centre adds, in
	 * milliseconds
	 * @return the time, in milliseconds
	 */
	public double expectedMillis(EnginePath path, RequestTokens tokens, ToDoubleFunction<EngineInstance> slowdown,
			ToDoubleFunction<EngineInstance> queuedPromptTokens, double crossingMillis) {
		double millis = path.crossings() * crossingMillis;
		for (PathStage stage : path.stages()) {
			EngineInstance engine = stage.engine();
			RequestTokens queued = new RequestTokens(queuedPromptTokens.applyAsDouble(engine), 0);
			int heldLayers = engine.layers().map(LayerRange::size).orElse(0);
			millis += HOP_LATENCY_MILLIS * (tokens.output() + 1) + this.profile.kind(engine)
				.map((kind) -> stage.layers().size() * slowdown.applyAsDouble(engine) * millisPerLayer(kind, tokens)
						+ heldLayers * millisPerLayer(kind, queued))
				.orElse(0.0);
		}
		return millis;
	}

	private double millisPerLayer(AcceleratorKind kind, RequestTokens tokens) {
		double decodeMillis = tokens.output() * this.profile.stepMillis() * kind.stepFactor();
		double prefillMillis = tokens.prompt() / this.profile.prefillTokensPerMillis() * kind.prefillFactor();
		return (decodeMillis + prefillMillis) / this.profile.layers();
	}

	// Finds the path by dynamic programming over layer boundaries. Each boundary keeps
	// only the cheapest partial path of each data centre, so that the running time grows
	// linearly with the number of engines.
	private Optional<EnginePath> findCheapestPath(List<Candidate> candidates, double hopMillis, double crossingMillis) {
		int layers = this.profile.layers();
		Map<Integer, List<Candidate>> byEnd = candidates.stream()
			.collect(Collectors.groupingBy((candidate) -> candidate.layers().end()));
		List<Boundary> boundaries = new ArrayList<>(layers + 1);
		boundaries.add(new Boundary(true, crossingMillis));
		for (int end = 1; end <= layers; end++) {
			Boundary boundary = new Boundary(false, crossingMillis);
			for (Candidate candidate : byEnd.getOrDefault(end, List.of())) {
				cheapestEndingWith(candidate, boundaries, hopMillis).ifPresent(boundary::keepIfCheaper);
			}
			boundaries.add(boundary);
		}
		return boundaries.get(layers).cheapest().map(PartialPath::toPath);
	}

	// Returns the cheapest partial path whose last stage is the given engine. The engine
	// always runs up to the end of its layers.
	private static Optional<PartialPath> cheapestEndingWith(Candidate last, List<Boundary> boundaries,
			double hopMillis) {
		double minMillis = Double.POSITIVE_INFINITY;
		int firstLayer = -1;
		for (int layer = last.layers().first(); layer < last.layers().end(); layer++) {
			double millis = boundaries.get(layer).arrivalMillis(last.dataCentre())
					+ last.millisPerLayer() * (last.layers().end() - layer);
			if (millis < minMillis) {
				minMillis = millis;
				firstLayer = layer;
			}
		}
		if (firstLayer < 0) {
			return Optional.empty();
		}
		return Optional.of(new PartialPath(last, firstLayer, boundaries.get(firstLayer).cheapestTo(last.dataCentre()),
				minMillis + last.queueingDelayMillis() + hopMillis));
	}

	/**
	 * An eligible engine with its expected processing time for one layer of the request
	 * and its queueing delay.
	 */
	private record Candidate(EngineInstance engine, LayerRange layers, double millisPerLayer,
			double queueingDelayMillis) {

		String dataCentre() {
			return this.engine.upstream().dataCentre();
		}

	}

	/**
	 * Stages that run all layers below a boundary. The last engine runs the layers from
	 * {@code firstLayer} on, the previous stages those before it.
	 */
	private record PartialPath(Candidate last, int firstLayer, Optional<PartialPath> previous, double millis,
			int stageCount) {

		PartialPath(Candidate last, int firstLayer, Optional<PartialPath> previous, double millis) {
			this(last, firstLayer, previous, millis, previous.map(PartialPath::stageCount).orElse(0) + 1);
		}

		// Returns the time after which an engine in the data centre can continue.
		double arrivalMillis(String dataCentre, double crossingMillis) {
			return this.millis + (this.last.dataCentre().equals(dataCentre) ? 0 : crossingMillis);
		}

		EnginePath toPath() {
			List<PathStage> stages = new ArrayList<>();
			Optional<PartialPath> path = Optional.of(this);
			while (path.isPresent()) {
				Candidate engine = path.get().last();
				stages.add(
						new PathStage(engine.engine(), new LayerRange(path.get().firstLayer(), engine.layers().end())));
				path = path.get().previous();
			}
			Collections.reverse(stages);
			return new EnginePath(stages);
		}

	}

	/**
	 * The cheapest partial paths that end at a boundary between two layers.
	 */
	private static final class Boundary {

		private final boolean isStart;

		private final double crossingMillis;

		private final Map<String, PartialPath> cheapestByLastDataCentre = new HashMap<>();

		/** Cheapest partial path by the data centre of the engine that continues it. */
		private final Map<String, Optional<PartialPath>> cheapestToDataCentre = new HashMap<>();

		Boundary(boolean isStart, double crossingMillis) {
			this.isStart = isStart;
			this.crossingMillis = crossingMillis;
		}

		void keepIfCheaper(PartialPath path) {
			this.cheapestByLastDataCentre.merge(path.last().dataCentre(), path,
					(left, right) -> (right.millis() < left.millis()) ? right : left);
		}

		Optional<PartialPath> cheapest() {
			return this.cheapestByLastDataCentre.values().stream().min(Comparator.comparingDouble(PartialPath::millis));
		}

		// Returns the cheapest partial path for an engine in the data centre to continue.
		Optional<PartialPath> cheapestTo(String dataCentre) {
			return this.cheapestToDataCentre.computeIfAbsent(dataCentre,
					(name) -> this.cheapestByLastDataCentre.values()
						.stream()
						.filter((path) -> path.stageCount() < MAX_STAGES)
						.min(Comparator.comparingDouble((path) -> path.arrivalMillis(name, this.crossingMillis))));
		}

		// Returns the time after which an engine in the data centre can continue, or
		// infinity if there is nothing to continue.
		double arrivalMillis(String dataCentre) {
			if (this.isStart) {
				return 0;
			}
			Optional<PartialPath> path = cheapestTo(dataCentre);
			return path.isPresent() ? path.get().arrivalMillis(dataCentre, this.crossingMillis)
					: Double.POSITIVE_INFINITY;
		}

	}

}
