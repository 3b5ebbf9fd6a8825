package org.mulberrycross.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Lays out complete replicas of a model on engines of different sizes, as if all of them
 * were empty. Immutable and thread-safe.
 */
final class ReplicaLayout {

	/**
	 * Average-sized requests for which each engine of a new replica reserves memory: the
	 * concurrent requests of a data centre at 1.7 times the normal traffic, according to
	 * the model of the served system.
	 */
	static final double TARGET_REQUESTS = 100;

	/**
	 * Average-sized requests for which an engine reserves memory when it takes over
	 * missing layers. In a new replica, each engine reserves memory for at least half of
	 * this number.
	 */
	static final double MIN_REQUESTS = 20;

	/** Factor by which the reserved requests are reduced until a replica fits. */
	private static final double TARGET_REDUCTION_FACTOR = 0.8;

	/** Maximum number of stages in a path that engines accept. */
	private static final int MAX_STAGES = 32;

	private final EngineProfile profile;

	/**
	 * Creates a layout.
	 * @param profile the model and its engines, not null
	 */
	ReplicaLayout(EngineProfile profile) {
		this.profile = Objects.requireNonNull(profile, "profile");
	}

	// Returns the number of requests for which each engine reserves memory: the highest,
	// from the target down to half of MIN_REQUESTS, with which a replica fits. Empty if
	// none fits.
	Optional<Double> findReservedRequests(List<EngineInstance> engines) {
		for (double requests = TARGET_REQUESTS; requests >= MIN_REQUESTS / 2; requests *= TARGET_REDUCTION_FACTOR) {
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
	int maxLayers(EngineInstance engine, double requests) {
		double mbPerLayer = this.profile.weightMbPerLayer()
				+ requests * this.profile.meanTokens() * this.profile.cacheMbPerTokenAndLayer();
		double memoryMb = this.profile.kind(engine).map(AcceleratorKind::memoryMb).orElse(0.0);
		return (int) Math.min(this.profile.layers(), Math.floor(memoryMb / mbPerLayer));
	}

	// Returns the capacity that the engines would have if all of them were empty now.
	double plannedCapacity(List<EngineInstance> engines, double requests) {
		LayerCapacity capacity = new LayerCapacity(this.profile, TARGET_REQUESTS);
		place(engines, requests).forEach((placement) -> capacity.addHolder(placement.engine(), placement.layers(), 1));
		return capacity.lowest();
	}

	// Places as many complete replicas on the engines as fit. The layers that the engines
	// hold are ignored.
	List<Placement> place(List<EngineInstance> engines, double requests) {
		List<Placement> placements = new ArrayList<>();
		List<EngineInstance> remaining = new ArrayList<>(engines);
		remaining.sort(fastestFirst());
		List<EngineInstance> replica = selectReplicaEngines(remaining, requests);
		while (!replica.isEmpty()) {
			placements.addAll(assignLayers(replica, requests));
			remaining.removeAll(replica);
			replica = selectReplicaEngines(remaining, requests);
		}
		return placements;
	}

	Comparator<EngineInstance> fastestFirst() {
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

}
