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
import java.util.stream.Collectors;

/**
 * Decides which layers engines are to hold. Every data centre gets as many whole copies
 * of the model as fit beside the memory that requests need, each on the fastest engines
 * that are left; the others stay empty, and take over the layers of engines that are
 * lost, whether or not other engines hold them as well. An engine that holds layers is
 * only ever asked for more of them, so that an order never takes away the last copy of a
 * layer. Immutable and thread-safe.
 */
public final class LayerPlanner {

	/**
	 * Usual requests that each engine of a copy has memory for at first: the requests of
	 * a data centre during a surge of 1.7 times the traffic, in the model of the served
	 * system.
	 */
	private static final double TARGET_REQUESTS = 100;

	/** Usual requests that an engine keeps memory for when it takes over layers. */
	private static final double LEAST_REQUESTS = 20;

	/**
	 * Usual requests for which the holders of a layer have memory together at least, as
	 * long as there are empty engines.
	 */
	private static final double ROOMY_REQUESTS = 40;

	/**
	 * Share of the capacity of well-held layers below which a layer gets another holder.
	 * One copy of four may be lost before; with two copies, the loss of one halves it.
	 */
	private static final double WEAK_SHARE = 0.75;

	/** Step by which the target is lowered until a copy fits. */
	private static final double TARGET_STEP = 0.8;

	/** Longest path that engines accept. */
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
	 * Plans the next orders.
	 * @param engines the engines that serve and are not leaving, with the layers that
	 * they hold or were ordered to hold, not null
	 * @return the engines to order and the layers that each is to hold then
	 */
	public List<Placement> plan(Collection<EngineInstance> engines) {
		Map<String, List<EngineInstance>> byDataCentre = new TreeMap<>();
		for (EngineInstance engine : engines) {
			if (this.profile.kind(engine).isPresent()) {
				byDataCentre.computeIfAbsent(engine.upstream().dataCentre(), (name) -> new ArrayList<>()).add(engine);
			}
		}
		List<Placement> placements = new ArrayList<>();
		List<EngineInstance> tooSmall = new ArrayList<>();
		for (List<EngineInstance> local : byDataCentre.values()) {
			if (reserve(local).isEmpty()) {
				tooSmall.addAll(local);
			}
			else {
				placements.addAll(planGroup(local));
			}
		}
		placements.addAll(planGroup(tooSmall));
		return placements;
	}

	private List<Placement> planGroup(List<EngineInstance> engines) {
		boolean empty = engines.stream().allMatch((engine) -> engine.layers().isEmpty());
		return empty ? firstCopies(engines) : repair(engines);
	}

	// Returns the requests to keep memory for on each engine, or empty if no copy fits.
	private Optional<Double> reserve(List<EngineInstance> engines) {
		for (double requests = TARGET_REQUESTS; requests >= LEAST_REQUESTS / 2; requests *= TARGET_STEP) {
			double target = requests;
			int most = engines.stream()
				.mapToInt((engine) -> most(engine, target))
				.boxed()
				.sorted(Comparator.reverseOrder())
				.limit(MAX_STAGES)
				.mapToInt(Integer::intValue)
				.sum();
			if (most >= this.profile.layers()) {
				return Optional.of(target);
			}
		}
		return Optional.empty();
	}

	// Returns the number of layers beside which an engine has memory for the requests.
	private int most(EngineInstance engine, double requests) {
		double perLayer = this.profile.layerMb()
				+ requests * this.profile.usualTokens() * this.profile.cacheMbPerTokenAndLayer();
		double memory = this.profile.kind(engine).map(AcceleratorKind::memoryMb).orElse(0.0);
		return (int) Math.min(this.profile.layers(), Math.floor(memory / perLayer));
	}

	private List<Placement> firstCopies(List<EngineInstance> engines) {
		Optional<Double> requests = reserve(engines);
		if (requests.isEmpty()) {
			return List.of();
		}
		List<Placement> placements = new ArrayList<>();
		List<EngineInstance> left = new ArrayList<>(engines);
		left.sort(fastestFirst());
		List<EngineInstance> copy = takeCopy(left, requests.get());
		while (!copy.isEmpty()) {
			placements.addAll(chain(copy, requests.get()));
			left.removeAll(copy);
			copy = takeCopy(left, requests.get());
		}
		return placements;
	}

	private Comparator<EngineInstance> fastestFirst() {
		return Comparator
			.comparingDouble(
					(EngineInstance engine) -> this.profile.kind(engine).map(AcceleratorKind::stepFactor).orElse(0.0))
			.thenComparing(EngineInstance::id);
	}

	// Returns the engines for one copy, or none if the engines do not hold one.
	private List<EngineInstance> takeCopy(List<EngineInstance> fastestFirst, double requests) {
		List<EngineInstance> taken = new ArrayList<>();
		int layers = 0;
		for (EngineInstance engine : fastestFirst) {
			int most = most(engine, requests);
			if (most > 0 && layers < this.profile.layers() && taken.size() < MAX_STAGES) {
				taken.add(engine);
				layers += most;
			}
		}
		return (layers >= this.profile.layers()) ? taken : List.of();
	}

	// Lays the engines of a copy in a row. The largest engine comes last, beside the
	// slowest ones, which
	// have the most room to extend into its layers if it is lost.
	private List<Placement> chain(List<EngineInstance> copy, double requests) {
		List<EngineInstance> fastestLast = new ArrayList<>(copy);
		fastestLast.sort(Comparator.comparingInt((EngineInstance engine) -> most(engine, requests))
			.thenComparing(fastestFirst()));
		List<Placement> placements = new ArrayList<>();
		int surplus = copy.stream().mapToInt((engine) -> most(engine, requests)).sum() - this.profile.layers();
		EngineInstance slowest = copy.get(copy.size() - 1);
		int next = 0;
		for (EngineInstance engine : fastestLast) {
			int size = most(engine, requests) - ((engine == slowest) ? surplus : 0);
			placements.add(new Placement(engine, new LayerRange(next, next + size)));
			next += size;
		}
		return placements;
	}

	private List<Placement> repair(List<EngineInstance> engines) {
		List<Placement> placements = new ArrayList<>();
		List<EngineInstance> free = new ArrayList<>(
				engines.stream().filter((engine) -> engine.layers().isEmpty()).toList());
		free.sort(Comparator.comparingInt((EngineInstance engine) -> most(engine, LEAST_REQUESTS))
			.reversed()
			.thenComparing(fastestFirst()));
		Optional<LayerRange> hole = firstHole(engines, placements);
		while (hole.isPresent()) {
			LayerRange missing = hole.get();
			// Neighbours come first where the empty engines cannot take the whole gap.
			Optional<Placement> next = (room(free) < missing.size())
					? extend(missing, engines, placements).or(() -> fill(missing, free)) : fill(missing, free);
			if (next.isEmpty()) {
				break;
			}
			placements.add(next.get());
			free.remove(next.get().engine());
			hole = firstHole(engines, placements);
		}
		placements.addAll(reinforce(engines, free, placements));
		return placements;
	}

	// Places empty engines, such as ones that came back after a crash, beside the layers
	// that have lost the most capacity.
	private List<Placement> reinforce(List<EngineInstance> engines, List<EngineInstance> free,
			List<Placement> ordered) {
		LayerCapacity capacity = new LayerCapacity(this.profile, TARGET_REQUESTS);
		Set<EngineInstance> changing = ordered.stream().map(Placement::engine).collect(Collectors.toSet());
		engines.stream()
			.filter((engine) -> !changing.contains(engine))
			.forEach((engine) -> engine.layers().ifPresent((held) -> capacity.add(engine, held)));
		ordered.forEach((placement) -> capacity.add(placement.engine(), placement.layers()));
		List<EngineInstance> left = new ArrayList<>(
				free.stream().filter((engine) -> most(engine, TARGET_REQUESTS) > 0).toList());
		List<Placement> placements = new ArrayList<>();
		Optional<LayerRange> weak = capacity.weakest(WEAK_SHARE, ROOMY_REQUESTS);
		while (weak.isPresent() && !left.isEmpty()) {
			EngineInstance engine = smallestFor(weak.get(), left);
			int size = Math.min(weak.get().size(), most(engine, TARGET_REQUESTS));
			LayerRange layers = new LayerRange(weak.get().first(), weak.get().first() + size);
			capacity.add(engine, layers);
			placements.add(new Placement(engine, layers));
			left.remove(engine);
			weak = capacity.weakest(WEAK_SHARE, ROOMY_REQUESTS);
		}
		return placements;
	}

	// Returns the smallest engine that takes all of the layers, or else the largest one.
	private EngineInstance smallestFor(LayerRange layers, List<EngineInstance> free) {
		Comparator<EngineInstance> smallest = Comparator.comparingInt((engine) -> most(engine, TARGET_REQUESTS));
		return free.stream()
			.filter((engine) -> most(engine, TARGET_REQUESTS) >= layers.size())
			.min(smallest.thenComparing(fastestFirst()))
			.orElseGet(() -> Collections.max(free, smallest));
	}

	private int room(List<EngineInstance> free) {
		return free.stream().mapToInt((engine) -> most(engine, LEAST_REQUESTS)).sum();
	}

	private Optional<Placement> fill(LayerRange missing, List<EngineInstance> free) {
		for (EngineInstance engine : free) {
			int comfortable = most(engine, TARGET_REQUESTS);
			int size = Math.min(missing.size(),
					(comfortable >= missing.size()) ? comfortable : most(engine, LEAST_REQUESTS));
			if (size > 0) {
				return Optional.of(new Placement(engine, new LayerRange(missing.first(), missing.first() + size)));
			}
		}
		return Optional.empty();
	}

	private Optional<Placement> extend(LayerRange missing, List<EngineInstance> engines, List<Placement> placements) {
		for (EngineInstance engine : engines) {
			boolean ordered = placements.stream().anyMatch((placement) -> placement.engine() == engine);
			if (engine.layers().isEmpty() || ordered) {
				continue;
			}
			LayerRange held = engine.layers().get();
			int more = Math.min(missing.size(), most(engine, LEAST_REQUESTS) - held.size());
			if (more > 0 && held.end() == missing.first()) {
				return Optional.of(new Placement(engine, new LayerRange(held.first(), held.end() + more)));
			}
			if (more > 0 && held.first() == missing.end()) {
				return Optional.of(new Placement(engine, new LayerRange(held.first() - more, held.end())));
			}
		}
		return Optional.empty();
	}

	private Optional<LayerRange> firstHole(List<EngineInstance> engines, List<Placement> placements) {
		boolean[] held = new boolean[this.profile.layers()];
		engines.forEach((engine) -> engine.layers().ifPresent((layers) -> mark(held, layers)));
		placements.forEach((placement) -> mark(held, placement.layers()));
		return firstGap(held);
	}

	private static Optional<LayerRange> firstGap(boolean[] marked) {
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

	private static void mark(boolean[] held, LayerRange layers) {
		for (int layer = layers.first(); layer < Math.min(held.length, layers.end()); layer++) {
			held[layer] = true;
		}
	}

}
