package org.mulberrycross.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Changes the layers of engines that hold some, where layers have too little capacity and
 * no engine is empty. Layers that were repaired one loss after the other may have holders
 * in excess while others have none, and some engines may be packed with layers. Immutable
 * and thread-safe.
 */
final class LayerRebalancer {

	/**
	 * Maximum number of engines that move at the same time, since each move rejects the
	 * requests that are under way to the layers given up and loads weights.
	 */
	private static final int MAX_MOVES = 4;

	/**
	 * Part of the required capacity that a layer must gain for a move to be worth its
	 * loads.
	 */
	private static final double MIN_GAIN_RATIO = 0.25;

	private final EngineProfile profile;

	private final ReplicaLayout layout;

	/**
	 * Creates an instance.
	 * @param profile the model and its engines, not null
	 * @param layout lays out all engines at once, not null
	 */
	LayerRebalancer(EngineProfile profile, ReplicaLayout layout) {
		this.profile = Objects.requireNonNull(profile, "profile");
		this.layout = Objects.requireNonNull(layout, "layout");
	}

	/**
	 * Finds the moves that are worth most. The layers that an engine gives up keep other
	 * holders, and more capacity than the layer that has the lowest.
	 * @param engines the engines of a data centre with the layers that they hold, not
	 * null
	 * @param requests the number of requests for which an engine that moves reserves
	 * memory
	 * @param required the number of requests for which the holders of each layer together
	 * are to have memory
	 * @param slowdown the factor by which an engine is slower than its kind, at least 1;
	 * not null
	 * @return the engines that move and the layers that each one holds afterwards, empty
	 * if no layer has too little capacity or no move helps
	 */
	List<Placement> moves(List<EngineInstance> engines, double requests, double required,
			ToDoubleFunction<EngineInstance> slowdown) {
		LayerCapacity capacity = new LayerCapacity(this.profile, ReplicaLayout.TARGET_REQUESTS);
		engines.forEach((engine) -> engine.layers()
			.ifPresent((held) -> capacity.addHolder(engine, held, slowdown.applyAsDouble(engine))));
		List<EngineInstance> movable = new ArrayList<>(movable(engines, slowdown));
		List<Placement> moves = new ArrayList<>();
		Optional<Placement> move = bestMove(movable, capacity, requests, required);
		while (move.isPresent() && moves.size() < MAX_MOVES) {
			EngineInstance engine = move.get().engine();
			capacity.removeHolder(engine, engine.layers().orElseThrow());
			capacity.addHolder(engine, move.get().layers(), 1);
			moves.add(move.get());
			movable.remove(engine);
			move = bestMove(movable, capacity, requests, required);
		}
		return moves;
	}

	private static List<EngineInstance> movable(List<EngineInstance> engines,
			ToDoubleFunction<EngineInstance> slowdown) {
		return engines.stream()
			.filter((engine) -> engine.layers().isPresent() && slowdown.applyAsDouble(engine) <= 1)
			.toList();
	}

	// Returns the move that reduces the shortfall most, among those that give the layer
	// with the lowest capacity another holder or more memory.
	private Optional<Placement> bestMove(List<EngineInstance> movable, LayerCapacity capacity, double requests,
			double required) {
		int lowest = capacity.lowestLayer();
		if (capacity.requests(lowest) >= required) {
			return Optional.empty();
		}
		double bestGain = Math.pow(MIN_GAIN_RATIO * required, 2);
		Optional<Placement> best = Optional.empty();
		for (EngineInstance engine : movable) {
			int size = this.layout.maxLayers(engine, requests);
			int lastFirst = Math.min(lowest, this.profile.layers() - size);
			for (int first = Math.max(0, lowest - size + 1); size > 0 && first <= lastFirst; first++) {
				Placement move = new Placement(engine, new LayerRange(first, first + size));
				double gain = keepsCapacity(move, capacity) ? gain(move, capacity, required) : 0;
				if (gain > bestGain) {
					bestGain = gain;
					best = Optional.of(move);
				}
			}
		}
		return best;
	}

	/**
	 * Places the engines of a data centre anew, without regard to the layers that they
	 * hold. Layers may have no holder until the engines have loaded theirs.
	 * @param engines the engines of the data centre, not null
	 * @param requests the number of requests for which each engine reserves memory
	 * @param slowdown the factor by which an engine is slower than its kind, at least 1;
	 * not null
	 * @return the engines that change and the layers that each one holds afterwards
	 */
	List<Placement> placeAnew(List<EngineInstance> engines, double requests,
			ToDoubleFunction<EngineInstance> slowdown) {
		return differences(movable(engines, slowdown), requests);
	}

	// Returns the engines whose layers differ from a placement of all engines at once.
	// Engines of a kind are interchangeable, so those that hold what some engine of their
	// kind is to hold stay as they are, and the others get the range that overlaps most.
	private List<Placement> differences(List<EngineInstance> engines, double requests) {
		Map<String, List<LayerRange>> plannedByKind = new HashMap<>();
		this.layout.place(engines, requests)
			.forEach(
					(placement) -> plannedByKind.computeIfAbsent(placement.engine().kind(), (kind) -> new ArrayList<>())
						.add(placement.layers()));
		List<Placement> differences = new ArrayList<>();
		for (EngineInstance engine : engines) {
			List<LayerRange> planned = plannedByKind.getOrDefault(engine.kind(), new ArrayList<>());
			if (!planned.remove(engine.layers().orElseThrow())) {
				differences.add(new Placement(engine, engine.layers().orElseThrow()));
			}
		}
		return differences.stream()
			.flatMap((placement) -> takeClosest(placement,
					plannedByKind.getOrDefault(placement.engine().kind(), new ArrayList<>()))
				.stream())
			.collect(Collectors.toCollection(ArrayList::new));
	}

	private static Optional<Placement> takeClosest(Placement held, List<LayerRange> planned) {
		Optional<LayerRange> closest = planned.stream()
			.max(Comparator.comparingInt((range) -> overlap(range, held.layers())));
		closest.ifPresent(planned::remove);
		return closest.map((range) -> new Placement(held.engine(), range));
	}

	private static int overlap(LayerRange left, LayerRange right) {
		return Math.max(0, Math.min(left.end(), right.end()) - Math.max(left.first(), right.first()));
	}

	private static boolean keepsCapacity(Placement move, LayerCapacity capacity) {
		EngineInstance engine = move.engine();
		LayerRange held = engine.layers().orElseThrow();
		double given = capacity.requestsOf(engine, held, 1);
		double floor = Math.max(capacity.lowest(), ReplicaLayout.MIN_REQUESTS);
		for (int layer = held.first(); layer < held.end(); layer++) {
			if (!move.layers().contains(layer) && capacity.requests(layer) - given < floor) {
				return false;
			}
		}
		return true;
	}

	// Returns by how much a move reduces the sum of the squared shortfalls of all layers.
	private static double gain(Placement move, LayerCapacity capacity, double required) {
		LayerRange held = move.engine().layers().orElseThrow();
		LayerRange target = move.layers();
		double before = capacity.requestsOf(move.engine(), held, 1);
		double after = capacity.requestsOf(move.engine(), target, 1);
		double gain = 0;
		for (int layer = Math.min(held.first(), target.first()); layer < Math.max(held.end(), target.end()); layer++) {
			double present = capacity.requests(layer);
			double moved = present - (held.contains(layer) ? before : 0) + (target.contains(layer) ? after : 0);
			gain += squaredShortfall(present, required) - squaredShortfall(moved, required);
		}
		return gain;
	}

	private static double squaredShortfall(double requests, double required) {
		return Math.pow(Math.max(0, required - requests), 2);
	}

}
