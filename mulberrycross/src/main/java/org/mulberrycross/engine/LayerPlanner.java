package org.mulberrycross.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Assigns layers of the model to engines. Each data centre gets as many complete model
 * replicas as fit beside the memory reserved for requests, each on the fastest remaining
 * engines. The other engines stay empty as spares and take over the layers of lost
 * engines, even if other engines still hold these layers. An engine that already holds
 * layers can only be extended, so that a placement never removes the last holder of a
 * layer. Immutable and thread-safe.
 */
public final class LayerPlanner {

	/**
	 * Average-sized requests for which each engine of a new replica reserves memory: the
	 * concurrent requests of a data centre at 1.7 times the normal traffic, according to
	 * the model of the served system.
	 */
	private static final double TARGET_REQUESTS_PER_ENGINE = 100;

	/**
	 * Average-sized requests for which an engine reserves memory when it takes over
	 * missing layers. In a new replica, each engine reserves memory for at least half of
	 * this number.
	 */
	private static final double MIN_REQUESTS_PER_ENGINE = 20;

	/**
	 * Minimum number of average-sized requests for which the holders of a layer together
	 * have memory. A layer below this gets another holder if an empty engine is left.
	 */
	private static final double MIN_REQUESTS_PER_LAYER = 40;

	/**
	 * Fraction of the reference capacity below which a layer gets another holder. With
	 * four replicas, the loss of one still meets it; with two, the loss of one halves the
	 * capacity and does not.
	 */
	private static final double MIN_CAPACITY_RATIO = 0.75;

	/** Factor by which the reserved requests are reduced until a replica fits. */
	private static final double TARGET_REDUCTION_FACTOR = 0.8;

	/** Maximum number of stages in a path that engines accept. */
	private static final int MAX_STAGES = 32;

	private final EngineProfile profile;

	/**
	 * Creates a planner.
	 * @param profile the model and its engines, not null
	 */
	public LayerPlanner(EngineProfile profile) {
		this.profile = Objects.requireNonNull(profile, "profile");
	}

	/**
	 * Plans the next changes.
	 * @param engines the engines that are in service and not leaving, with the layers
	 * that they hold or have been ordered to hold, not null
	 * @return the engines to change and the complete range of layers that each holds
	 * afterwards, empty if nothing changes
	 */
	public List<Placement> plan(Collection<EngineInstance> engines) {
		return plan(engines, (engine) -> 1);
	}

	/**
	 * Plans the next changes for engines of which some are slower than their kind. The
	 * layers of a slow engine get another holder if an empty engine is left.
	 * @param engines the engines that are in service and not leaving, with the layers
	 * that they hold or have been ordered to hold, not null
	 * @param slowdown the factor by which an engine is slower than its kind, at least 1;
	 * not null
	 * @return the engines to change and the complete range of layers that each holds
	 * afterwards, empty if nothing changes
	 */
	public List<Placement> plan(Collection<EngineInstance> engines, ToDoubleFunction<EngineInstance> slowdown) {
		Map<String, List<EngineInstance>> byDataCentre = new TreeMap<>();
		for (EngineInstance engine : engines) {
			if (this.profile.kind(engine).isPresent()) {
				byDataCentre.computeIfAbsent(engine.upstream().dataCentre(), (name) -> new ArrayList<>()).add(engine);
			}
		}
		List<Placement> placements = new ArrayList<>();
		// Data centres that cannot hold a replica each are planned as one group.
		List<EngineInstance> enginesOfSmallDataCentres = new ArrayList<>();
		for (List<EngineInstance> localEngines : byDataCentre.values()) {
			if (findReservedRequests(localEngines).isEmpty()) {
				enginesOfSmallDataCentres.addAll(localEngines);
			}
			else {
				placements.addAll(planGroup(localEngines, slowdown));
			}
		}
		placements.addAll(planGroup(enginesOfSmallDataCentres, slowdown));
		return placements;
	}

	private List<Placement> planGroup(List<EngineInstance> engines, ToDoubleFunction<EngineInstance> slowdown) {
		boolean empty = engines.stream().allMatch((engine) -> engine.layers().isEmpty());
		return empty ? placeInitialReplicas(engines) : repairCoverage(engines, slowdown);
	}

	// Returns the number of requests for which each engine reserves memory: the highest,
	// from the target down to half of MIN_REQUESTS_PER_ENGINE, with which a replica fits.
	// Empty if none fits.
	private Optional<Double> findReservedRequests(List<EngineInstance> engines) {
		for (double requests = TARGET_REQUESTS_PER_ENGINE; requests >= MIN_REQUESTS_PER_ENGINE
				/ 2; requests *= TARGET_REDUCTION_FACTOR) {
			double reservedRequests = requests;
			int totalLayers = engines.stream()
				.mapToInt((engine) -> maxLayers(engine, reservedRequests))
				.boxed()
				.sorted(Comparator.reverseOrder())
				.limit(MAX_STAGES)
				.mapToInt(Integer::intValue)
				.sum();
			if (totalLayers >= this.profile.layers()) {
				return Optional.of(reservedRequests);
			}
		}
		return Optional.empty();
	}

	// Returns the maximum number of layers that leave the engine memory for the requests.
	private int maxLayers(EngineInstance engine, double requests) {
		double mbPerLayer = this.profile.weightMbPerLayer()
				+ requests * this.profile.meanTokens() * this.profile.cacheMbPerTokenAndLayer();
		double memoryMb = this.profile.kind(engine).map(AcceleratorKind::memoryMb).orElse(0.0);
		return (int) Math.min(this.profile.layers(), Math.floor(memoryMb / mbPerLayer));
	}

	private List<Placement> placeInitialReplicas(List<EngineInstance> engines) {
		Optional<Double> requests = findReservedRequests(engines);
		if (requests.isEmpty()) {
			return List.of();
		}
		List<Placement> placements = new ArrayList<>();
		List<EngineInstance> remaining = new ArrayList<>(engines);
		remaining.sort(fastestFirst());
		List<EngineInstance> replica = selectReplicaEngines(remaining, requests.get());
		while (!replica.isEmpty()) {
			placements.addAll(assignLayers(replica, requests.get()));
			remaining.removeAll(replica);
			replica = selectReplicaEngines(remaining, requests.get());
		}
		return placements;
	}

	private Comparator<EngineInstance> fastestFirst() {
		return Comparator
			.comparingDouble(
					(EngineInstance engine) -> this.profile.kind(engine).map(AcceleratorKind::stepFactor).orElse(0.0))
			.thenComparing(EngineInstance::id);
	}

	// Returns the engines for one replica, or none if they cannot hold all layers.
	private List<EngineInstance> selectReplicaEngines(List<EngineInstance> fastestFirst, double requests) {
		List<EngineInstance> selected = new ArrayList<>();
		int layers = 0;
		for (EngineInstance engine : fastestFirst) {
			int layerCount = maxLayers(engine, requests);
			if (layerCount > 0 && layers < this.profile.layers() && selected.size() < MAX_STAGES) {
				selected.add(engine);
				layers += layerCount;
			}
		}
		return (layers >= this.profile.layers()) ? selected : List.of();
	}

	// Assigns consecutive ranges to the engines of a replica. The largest engine is last,
	// next to the slowest ones, which have the most spare memory to take over its layers
	// if it is lost.
	private List<Placement> assignLayers(List<EngineInstance> replica, double requests) {
		List<EngineInstance> bySize = new ArrayList<>(replica);
		bySize.sort(Comparator.comparingInt((EngineInstance engine) -> maxLayers(engine, requests))
			.thenComparing(fastestFirst()));
		List<Placement> placements = new ArrayList<>();
		int surplus = replica.stream().mapToInt((engine) -> maxLayers(engine, requests)).sum() - this.profile.layers();
		EngineInstance slowest = replica.get(replica.size() - 1);
		int nextLayer = 0;
		for (EngineInstance engine : bySize) {
			int size = maxLayers(engine, requests) - ((engine == slowest) ? surplus : 0);
			placements.add(new Placement(engine, new LayerRange(nextLayer, nextLayer + size)));
			nextLayer += size;
		}
		return placements;
	}

	// Finds holders for missing layers, then adds holders to layers with low capacity.
	private List<Placement> repairCoverage(List<EngineInstance> engines, ToDoubleFunction<EngineInstance> slowdown) {
		List<Placement> placements = new ArrayList<>();
		List<EngineInstance> emptyEngines = new ArrayList<>(
				engines.stream().filter((engine) -> engine.layers().isEmpty()).toList());
		emptyEngines.sort(
				Comparator.comparingDouble(slowdown)
					.thenComparing(Comparator
						.comparingInt((EngineInstance engine) -> maxLayers(engine, MIN_REQUESTS_PER_ENGINE))
						.reversed())
					.thenComparing(fastestFirst()));
		Optional<LayerRange> missingRange = findMissingRange(engines, placements);
		while (missingRange.isPresent()) {
			LayerRange missing = missingRange.get();
			// Engines with adjacent layers are preferred if the empty engines cannot hold
			// the complete range.
			Optional<Placement> next = (totalMaxLayers(emptyEngines) < missing.size())
					? extendAdjacentEngine(missing, engines, placements)
						.or(() -> placeOnEmptyEngine(missing, emptyEngines))
					: placeOnEmptyEngine(missing, emptyEngines);
			if (next.isEmpty()) {
				break;
			}
			placements.add(next.get());
			emptyEngines.remove(next.get().engine());
			missingRange = findMissingRange(engines, placements);
		}
		placements.addAll(addCapacity(engines, emptyEngines, placements, slowdown));
		return placements;
	}

	// Assigns empty engines, such as ones restarted after a crash, to the layers with the
	// lowest capacity. A slow engine adds only the part of its capacity that it can use.
	private List<Placement> addCapacity(List<EngineInstance> engines, List<EngineInstance> emptyEngines,
			List<Placement> repairs, ToDoubleFunction<EngineInstance> slowdown) {
		LayerCapacity capacity = new LayerCapacity(this.profile, TARGET_REQUESTS_PER_ENGINE);
		Set<EngineInstance> changedEngines = repairs.stream().map(Placement::engine).collect(Collectors.toSet());
		engines.stream()
			.filter((engine) -> !changedEngines.contains(engine))
			.forEach((engine) -> engine.layers()
				.ifPresent((held) -> capacity.addHolder(engine, held, slowdown.applyAsDouble(engine))));
		repairs.forEach((placement) -> capacity.addHolder(placement.engine(), placement.layers(), 1));
		List<EngineInstance> remaining = new ArrayList<>(emptyEngines.stream()
			.filter((engine) -> maxLayers(engine, TARGET_REQUESTS_PER_ENGINE) > 0)
			.filter((engine) -> slowdown.applyAsDouble(engine) <= 1)
			.toList());
		List<Placement> placements = new ArrayList<>();
		Optional<LayerRange> lowCapacity = capacity.findLowCapacityRange(MIN_CAPACITY_RATIO, MIN_REQUESTS_PER_LAYER);
		while (lowCapacity.isPresent() && !remaining.isEmpty()) {
			EngineInstance engine = bestFit(lowCapacity.get(), remaining);
			int size = Math.min(lowCapacity.get().size(), maxLayers(engine, TARGET_REQUESTS_PER_ENGINE));
			LayerRange layers = new LayerRange(lowCapacity.get().first(), lowCapacity.get().first() + size);
			capacity.addHolder(engine, layers, 1);
			placements.add(new Placement(engine, layers));
			remaining.remove(engine);
			lowCapacity = capacity.findLowCapacityRange(MIN_CAPACITY_RATIO, MIN_REQUESTS_PER_LAYER);
		}
		return placements;
	}

	// Returns the smallest engine that can hold all layers, or else the largest one.
	private EngineInstance bestFit(LayerRange layers, List<EngineInstance> emptyEngines) {
		Comparator<EngineInstance> byMaxLayers = Comparator
			.comparingInt((engine) -> maxLayers(engine, TARGET_REQUESTS_PER_ENGINE));
		return emptyEngines.stream()
			.filter((engine) -> maxLayers(engine, TARGET_REQUESTS_PER_ENGINE) >= layers.size())
			.min(byMaxLayers.thenComparing(fastestFirst()))
			.orElseGet(() -> Collections.max(emptyEngines, byMaxLayers));
	}

	private int totalMaxLayers(List<EngineInstance> emptyEngines) {
		return emptyEngines.stream().mapToInt((engine) -> maxLayers(engine, MIN_REQUESTS_PER_ENGINE)).sum();
	}

	// Assigns the first missing layers to the first empty engine with enough memory.
	private Optional<Placement> placeOnEmptyEngine(LayerRange missing, List<EngineInstance> emptyEngines) {
		for (EngineInstance engine : emptyEngines) {
			int targetLayers = maxLayers(engine, TARGET_REQUESTS_PER_ENGINE);
			int size = Math.min(missing.size(),
					(targetLayers >= missing.size()) ? targetLayers : maxLayers(engine, MIN_REQUESTS_PER_ENGINE));
			if (size > 0) {
				return Optional.of(new Placement(engine, new LayerRange(missing.first(), missing.first() + size)));
			}
		}
		return Optional.empty();
	}

	// Extends an engine whose layers are adjacent to the missing range.
	private Optional<Placement> extendAdjacentEngine(LayerRange missing, List<EngineInstance> engines,
			List<Placement> placements) {
		for (EngineInstance engine : engines) {
			boolean alreadyChanged = placements.stream().anyMatch((placement) -> placement.engine() == engine);
			if (engine.layers().isEmpty() || alreadyChanged) {
				continue;
			}
			LayerRange held = engine.layers().get();
			int extension = Math.min(missing.size(), maxLayers(engine, MIN_REQUESTS_PER_ENGINE) - held.size());
			if (extension > 0 && held.end() == missing.first()) {
				return Optional.of(new Placement(engine, new LayerRange(held.first(), held.end() + extension)));
			}
			if (extension > 0 && held.first() == missing.end()) {
				return Optional.of(new Placement(engine, new LayerRange(held.first() - extension, held.end())));
			}
		}
		return Optional.empty();
	}

	// Returns the first range of layers without a holder.
	private Optional<LayerRange> findMissingRange(List<EngineInstance> engines, List<Placement> placements) {
		boolean[] held = new boolean[this.profile.layers()];
		engines.forEach((engine) -> engine.layers().ifPresent((layers) -> markLayers(held, layers)));
		placements.forEach((placement) -> markLayers(held, placement.layers()));
		return findUnmarkedRange(held);
	}

	private static Optional<LayerRange> findUnmarkedRange(boolean[] marked) {
		int first = 0;
		while (first < marked.length && marked[first]) {
			first++;
		}
		int end = first;
		while (end < marked.length && !marked[end]) {
			end++;
		}
		return (first < end) ? Optional.of(new LayerRange(first, end)) : Optional.empty();
	}

	private static void markLayers(boolean[] held, LayerRange layers) {
		for (int layer = layers.first(); layer < Math.min(held.length, layers.end()); layer++) {
			held[layer] = true;
		}
	}

}
