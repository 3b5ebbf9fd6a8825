package org.mulberrycross.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Assigns layers of the model to engines. Each data centre gets as many complete model
 * replicas as fit beside the memory reserved for requests, each on the fastest remaining
 * engines. The other engines stay empty as spares and take over the layers of lost
 * engines, even if other engines still hold these layers. Engines that are added to those
 * that hold layers already get the capacity that a placement on all of them at once would
 * have, so that the capacity does not depend on the order in which engines came. An
 * engine that already holds layers is only extended, or moved if other engines hold the
 * layers that it gives up, so that a placement never removes the last holder of a layer.
 * Immutable and thread-safe.
 */
public final class LayerPlanner {

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

	/**
	 * Fraction of the capacity of a new placement below which the engines of a data
	 * centre are placed anew. Until they have loaded their layers, less is lost than they
	 * gain.
	 */
	private static final double MIN_CAPACITY_RATIO_IN_PLACE = 0.5;

	private final EngineProfile profile;

	private final ReplicaLayout layout;

	private final LayerRebalancer rebalancer;

	/**
	 * Creates a planner.
	 * @param profile the model and its engines, not null
	 */
	public LayerPlanner(EngineProfile profile) {
		this.profile = Objects.requireNonNull(profile, "profile");
		this.layout = new ReplicaLayout(profile);
		this.rebalancer = new LayerRebalancer(profile, this.layout);
	}

	/**
	 * Plans the next changes.
	 * @param engines the engines that are in service and not leaving, with the layers
	 * that they hold or have been ordered to hold, not null
	 * @return the engines to change and the complete range of layers that each holds
	 * afterwards, empty if nothing changes
	 */
	public List<Placement> plan(Collection<EngineInstance> engines) {
		return plan(engines, (engine) -> 1, (engine) -> false);
	}

	/**
	 * Plans the next changes for engines of which some are slower than their kind. The
	 * layers of a slow engine get another holder if an empty engine is left.
	 * @param engines the engines that are in service and not leaving, with the layers
	 * that they hold or have been ordered to hold, not null
	 * @param slowdown the factor by which an engine is slower than its kind, at least 1;
	 * not null
	 * @param changing whether an engine still carries out an order; it takes no other one
	 * before that has ended; not null
	 * @return the engines to change and the complete range of layers that each holds
	 * afterwards, empty if nothing changes
	 */
	public List<Placement> plan(Collection<EngineInstance> engines, ToDoubleFunction<EngineInstance> slowdown,
			Predicate<EngineInstance> changing) {
		Collection<List<EngineInstance>> groups = groups(engines).values();
		List<Placement> placements = new ArrayList<>();
		groups.forEach((group) -> placements.addAll(repairOrPlace(group, slowdown, changing)));
		// More loads than this slow each other down, and the repairs with them.
		long loads = placements.size() + engines.stream().filter(changing).count();
		long room = Math.max(0, this.profile.maxConcurrentLoads() - loads);
		List<Placement> extensions = groups.stream()
			.filter((group) -> group.stream().anyMatch((engine) -> engine.layers().isPresent()))
			.flatMap((group) -> extendCapacity(group, placements, slowdown).stream())
			.limit(room)
			.toList();
		placements.addAll(extensions);
		return placements;
	}

	/**
	 * Plans changes of engines that hold layers, for data centres in which layers have
	 * too little capacity, or no holder, and no engine is empty. Engines are moved as far
	 * as others hold the layers that they give up. If that is not possible and a data
	 * centre has less than half of the capacity that it could have, its engines are
	 * placed anew, one data centre at a time.
	 * @param engines the engines that are in service and not leaving, with the layers
	 * that they hold or have been ordered to hold, not null
	 * @param slowdown the factor by which an engine is slower than its kind, at least 1;
	 * not null
	 * @param changing whether an engine still carries out an order; its data centre is
	 * left alone until that has ended; not null
	 * @return the engines to change and the complete range of layers that each holds
	 * afterwards, empty if nothing changes
	 */
	public List<Placement> rebalance(Collection<EngineInstance> engines, ToDoubleFunction<EngineInstance> slowdown,
			Predicate<EngineInstance> changing) {
		Collection<List<EngineInstance>> groups = groups(engines).values();
		List<Placement> moves = groups.stream()
			.filter((group) -> group.stream().noneMatch(changing))
			.flatMap((group) -> moves(group, slowdown).stream())
			.toList();
		if (!moves.isEmpty() || engines.stream().anyMatch(changing)) {
			return moves;
		}
		return groups.stream()
			.min(Comparator.comparingDouble(this::capacityRatio))
			.filter((group) -> capacityRatio(group) < MIN_CAPACITY_RATIO_IN_PLACE)
			.flatMap((group) -> this.layout.findReservedRequests(group)
				.map((requests) -> this.rebalancer.placeAnew(group, requests, slowdown)))
			.orElse(List.of());
	}

	private List<Placement> moves(List<EngineInstance> engines, ToDoubleFunction<EngineInstance> slowdown) {
		return this.layout.findReservedRequests(engines)
			.map((requests) -> this.rebalancer.moves(engines, requests,
					MIN_CAPACITY_RATIO * this.layout.plannedCapacity(engines, requests), slowdown))
			.orElse(List.of());
	}

	// Returns the part that the engines hold of the capacity that they could have, 1 if
	// they can hold no replica.
	private double capacityRatio(List<EngineInstance> engines) {
		return this.layout.findReservedRequests(engines)
			.map((requests) -> heldCapacity(engines) / this.layout.plannedCapacity(engines, requests))
			.orElse(1.0);
	}

	/**
	 * Returns the capacity of the engines with the layers that they hold.
	 * @param engines the engines that are in service and not leaving, with the layers
	 * that they hold or have been ordered to hold, not null
	 * @return the capacity of each data centre, or of several that hold replicas together
	 */
	public List<GroupCapacity> capacities(Collection<EngineInstance> engines) {
		return groups(engines).entrySet()
			.stream()
			.map((group) -> new GroupCapacity(group.getKey(), heldCapacity(group.getValue()),
					this.layout.findReservedRequests(group.getValue())
						.map((requests) -> this.layout.plannedCapacity(group.getValue(), requests))
						.orElse(0.0)))
			.toList();
	}

	// Returns the engines that are planned together, by data centre. Data centres that
	// cannot hold a replica each form one group, under their joined names.
	private Map<String, List<EngineInstance>> groups(Collection<EngineInstance> engines) {
		Map<String, List<EngineInstance>> groups = new TreeMap<>();
		for (EngineInstance engine : engines) {
			if (this.profile.kind(engine).isPresent()) {
				groups.computeIfAbsent(engine.upstream().dataCentre(), (name) -> new ArrayList<>()).add(engine);
			}
		}
		List<String> smallDataCentres = groups.keySet()
			.stream()
			.filter((name) -> this.layout.findReservedRequests(groups.get(name)).isEmpty())
			.toList();
		List<EngineInstance> enginesOfSmallDataCentres = new ArrayList<>();
		smallDataCentres.forEach((name) -> enginesOfSmallDataCentres.addAll(groups.remove(name)));
		if (!enginesOfSmallDataCentres.isEmpty()) {
			groups.put(String.join("+", smallDataCentres), enginesOfSmallDataCentres);
		}
		return groups;
	}

	private double heldCapacity(List<EngineInstance> engines) {
		LayerCapacity capacity = new LayerCapacity(this.profile, ReplicaLayout.TARGET_REQUESTS);
		engines.forEach((engine) -> engine.layers().ifPresent((layers) -> capacity.addHolder(engine, layers, 1)));
		return capacity.lowest();
	}

	private List<Placement> repairOrPlace(List<EngineInstance> engines, ToDoubleFunction<EngineInstance> slowdown,
			Predicate<EngineInstance> changing) {
		if (engines.stream().anyMatch((engine) -> engine.layers().isPresent())) {
			return repairCoverage(engines, slowdown, changing);
		}
		return this.layout.findReservedRequests(engines)
			.map((requests) -> this.layout.place(engines, requests))
			.orElse(List.of());
	}

	// Uses the engines that are empty after the repairs: for complete replicas, and for
	// layers with less capacity than a placement on all engines would give them.
	private List<Placement> extendCapacity(List<EngineInstance> engines, List<Placement> repairs,
			ToDoubleFunction<EngineInstance> slowdown) {
		List<EngineInstance> unused = unusedEngines(engines, repairs, slowdown);
		Optional<Double> reserved = this.layout.findReservedRequests(engines);
		if (unused.isEmpty() || reserved.isEmpty()) {
			return List.of();
		}
		double requests = reserved.get();
		List<Placement> placements = new ArrayList<>(this.layout.place(unused, requests));
		List<Placement> allPlacements = new ArrayList<>(placements);
		repairs.stream().filter((repair) -> engines.contains(repair.engine())).forEach(allPlacements::add);
		placements.addAll(addCapacity(engines, unusedEngines(unused, placements, slowdown), allPlacements,
				this.layout.plannedCapacity(engines, requests), slowdown));
		return placements;
	}

	// Returns the empty engines at full speed that no placement changes.
	private static List<EngineInstance> unusedEngines(List<EngineInstance> engines, List<Placement> placements,
			ToDoubleFunction<EngineInstance> slowdown) {
		Set<EngineInstance> changedEngines = placements.stream().map(Placement::engine).collect(Collectors.toSet());
		return engines.stream()
			.filter((engine) -> engine.layers().isEmpty() && !changedEngines.contains(engine))
			.filter((engine) -> slowdown.applyAsDouble(engine) <= 1)
			.toList();
	}

	// Finds holders for missing layers, then adds holders to layers with low capacity.
	private List<Placement> repairCoverage(List<EngineInstance> engines, ToDoubleFunction<EngineInstance> slowdown,
			Predicate<EngineInstance> changing) {
		List<Placement> placements = new ArrayList<>();
		List<EngineInstance> emptyEngines = new ArrayList<>(
				engines.stream().filter((engine) -> engine.layers().isEmpty()).toList());
		emptyEngines.sort(Comparator.comparingDouble(slowdown)
			.thenComparing(Comparator
				.comparingInt((EngineInstance engine) -> this.layout.maxLayers(engine, ReplicaLayout.MIN_REQUESTS))
				.reversed())
			.thenComparing(this.layout.fastestFirst()));
		Optional<LayerRange> missingRange = findMissingRange(engines, placements);
		while (missingRange.isPresent()) {
			LayerRange missing = missingRange.get();
			// Engines with adjacent layers are preferred if the empty engines cannot hold
			// the complete range.
			Optional<Placement> next = (totalMaxLayers(emptyEngines) < missing.size())
					? extendAdjacentEngine(missing, engines, placements, changing)
						.or(() -> placeOnEmptyEngine(missing, emptyEngines))
					: placeOnEmptyEngine(missing, emptyEngines);
			if (next.isEmpty()) {
				break;
			}
			placements.add(next.get());
			emptyEngines.remove(next.get().engine());
			missingRange = findMissingRange(engines, placements);
		}
		placements.addAll(addCapacity(engines, emptyEngines, placements, 0, slowdown));
		return placements;
	}

	// Assigns empty engines, such as ones restarted after a crash, to the layers with the
	// lowest capacity. A slow engine adds only the part of its capacity that it can use.
	private List<Placement> addCapacity(List<EngineInstance> engines, List<EngineInstance> emptyEngines,
			List<Placement> repairs, double minReference, ToDoubleFunction<EngineInstance> slowdown) {
		LayerCapacity capacity = new LayerCapacity(this.profile, ReplicaLayout.TARGET_REQUESTS);
		Set<EngineInstance> changedEngines = repairs.stream().map(Placement::engine).collect(Collectors.toSet());
		engines.stream()
			.filter((engine) -> !changedEngines.contains(engine))
			.forEach((engine) -> engine.layers()
				.ifPresent((held) -> capacity.addHolder(engine, held, slowdown.applyAsDouble(engine))));
		repairs.forEach((placement) -> capacity.addHolder(placement.engine(), placement.layers(), 1));
		List<EngineInstance> remaining = new ArrayList<>(emptyEngines.stream()
			.filter((engine) -> this.layout.maxLayers(engine, ReplicaLayout.TARGET_REQUESTS) > 0)
			.filter((engine) -> slowdown.applyAsDouble(engine) <= 1)
			.toList());
		List<Placement> placements = new ArrayList<>();
		double minRequests = Math.max(MIN_REQUESTS_PER_LAYER, MIN_CAPACITY_RATIO * minReference);
		Optional<LayerRange> lowCapacity = capacity.findLowCapacityRange(MIN_CAPACITY_RATIO, minRequests);
		while (lowCapacity.isPresent() && !remaining.isEmpty()) {
			EngineInstance engine = bestFit(lowCapacity.get(), remaining);
			int size = Math.min(lowCapacity.get().size(), this.layout.maxLayers(engine, ReplicaLayout.TARGET_REQUESTS));
			LayerRange layers = new LayerRange(lowCapacity.get().first(), lowCapacity.get().first() + size);
			capacity.addHolder(engine, layers, 1);
			placements.add(new Placement(engine, layers));
			remaining.remove(engine);
			lowCapacity = capacity.findLowCapacityRange(MIN_CAPACITY_RATIO, minRequests);
		}
		return placements;
	}

	// Returns the smallest engine that can hold all layers, or else the largest one.
	private EngineInstance bestFit(LayerRange layers, List<EngineInstance> emptyEngines) {
		Comparator<EngineInstance> byMaxLayers = Comparator
			.comparingInt((engine) -> this.layout.maxLayers(engine, ReplicaLayout.TARGET_REQUESTS));
		return emptyEngines.stream()
			.filter((engine) -> this.layout.maxLayers(engine, ReplicaLayout.TARGET_REQUESTS) >= layers.size())
			.min(byMaxLayers.thenComparing(this.layout.fastestFirst()))
			.orElseGet(() -> Collections.max(emptyEngines, byMaxLayers));
	}

	private int totalMaxLayers(List<EngineInstance> emptyEngines) {
		return emptyEngines.stream()
			.mapToInt((engine) -> this.layout.maxLayers(engine, ReplicaLayout.MIN_REQUESTS))
			.sum();
	}

	// Assigns the first missing layers to the first empty engine with enough memory.
	private Optional<Placement> placeOnEmptyEngine(LayerRange missing, List<EngineInstance> emptyEngines) {
		for (EngineInstance engine : emptyEngines) {
			int targetLayers = this.layout.maxLayers(engine, ReplicaLayout.TARGET_REQUESTS);
			int size = Math.min(missing.size(), (targetLayers >= missing.size()) ? targetLayers
					: this.layout.maxLayers(engine, ReplicaLayout.MIN_REQUESTS));
			if (size > 0) {
				return Optional.of(new Placement(engine, new LayerRange(missing.first(), missing.first() + size)));
			}
		}
		return Optional.empty();
	}

	// Extends an engine whose layers are adjacent to the missing range.
	private Optional<Placement> extendAdjacentEngine(LayerRange missing, List<EngineInstance> engines,
			List<Placement> placements, Predicate<EngineInstance> changing) {
		for (EngineInstance engine : engines) {
			boolean alreadyChanged = placements.stream().anyMatch((placement) -> placement.engine() == engine);
			if (engine.layers().isEmpty() || alreadyChanged || changing.test(engine)) {
				continue;
			}
			LayerRange held = engine.layers().get();
			int extension = Math.min(missing.size(),
					this.layout.maxLayers(engine, ReplicaLayout.MIN_REQUESTS) - held.size());
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

	/**
	 * The number of average-sized requests for which the holders of each layer together
	 * have memory. Immutable and thread-safe.
	 *
	 * @param dataCentre the name of the data centre, or those of several joined by "+"
	 * @param requests the number for the layer with the lowest capacity as it is held
	 * @param plannedRequests the same if all engines were placed anew
	 */
	public record GroupCapacity(String dataCentre, double requests, double plannedRequests) {

		@Override
		public String toString() {
			return String.format(Locale.ROOT, "%s: %.0f of %.0f requests", this.dataCentre, this.requests,
					this.plannedRequests);
		}

	}

}
