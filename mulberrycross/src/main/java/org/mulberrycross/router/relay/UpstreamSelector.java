package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EnginePath;
import org.mulberrycross.engine.EngineProfile;
import org.mulberrycross.engine.EngineWork;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.ObservedRoom;
import org.mulberrycross.engine.OutstandingWork;
import org.mulberrycross.engine.PathFinder;
import org.mulberrycross.engine.PipeBudget;
import org.mulberrycross.engine.RequestTokens;

/**
 * Selects the upstream, or the path of engines, for a request. Confined to the control
 * thread; not thread-safe.
 */
final class UpstreamSelector {

	/**
	 * Utilization of an engine at which others are preferred.
	 */
	private static final double SATURATION_THRESHOLD = 0.9;

	/**
	 * Expected additional time of a request at full utilization, as a multiple of its
	 * time on an idle engine.
	 */
	private static final double SLOWDOWN_AT_FULL_UTILIZATION = 4;

	/** Part of an engine's memory that is filled before other engines are preferred. */
	private static final double USABLE_MEMORY = 0.95;

	/**
	 * Time, in milliseconds, that a path over the link between data centres must gain
	 * over a local one: the jitter of a local path's time.
	 */
	private static final double MIN_CROSSING_GAIN_MILLIS = 200;

	private final UpstreamDirectory directory;

	private final EligibleUpstreams eligible;

	private final UpstreamHealth health;

	private final EngineSlowdowns slowdowns;

	private final UpstreamLoad load = new UpstreamLoad();

	private final Map<String, PathFinder> pathFinders = new HashMap<>();

	private final Map<String, EngineProfile> profiles = new HashMap<>();

	private final String dataCentre;

	private final RandomGenerator random;

	private final OutstandingWork outstandingWork;

	private final RequestCosts costs = new RequestCosts();

	private final PipeBudget pipeBudget = new PipeBudget();

	private final ObservedRoom observedRoom = new ObservedRoom();

	private boolean expectedCost;

	private int daemonCount = 1;

	private boolean balanceBySlots;

	UpstreamSelector(UpstreamDirectory directory, EligibleUpstreams eligible, UpstreamHealth health,
			EngineSlowdowns slowdowns, String dataCentre, RandomGenerator random, OutstandingWork outstandingWork) {
		this.directory = directory;
		this.eligible = eligible;
		this.health = health;
		this.slowdowns = slowdowns;
		this.dataCentre = dataCentre;
		this.random = random;
		this.outstandingWork = outstandingWork;
	}

	void reload(WaitingSettings changed) {
		this.balanceBySlots = changed.balanceBySlots();
	}

	void configure(ServingConfiguration configuration) {
		this.pathFinders.clear();
		this.profiles.clear();
		this.profiles.putAll(configuration.profilesByService());
		this.profiles.forEach((service, profile) -> this.pathFinders.put(service, new PathFinder(profile)));
	}

	// Sets whether costs are learned from streams, or taken from what clients declare.
	void useExpectedCost(boolean enabled) {
		this.expectedCost = enabled;
	}

	void updateDaemonCount(int count) {
		this.daemonCount = count;
	}

	// Selects where to send a request, or returns empty if no upstream is eligible.
	Optional<Forwarding> select(RelayExchange exchange, Duration remaining, long nowNanos) {
		OptionalLong lastEventId = exchange.isStream() ? exchange.lastEventId() : OptionalLong.empty();
		return exchange.rule().chooseService(this.random).flatMap((service) -> {
			if (!this.pathFinders.containsKey(service)) {
				return selectInstance(exchange, service, nowNanos).map((instance) -> new Forwarding(instance, remaining,
						exchange.team(), Optional.empty(), lastEventId));
			}
			return selectPath(exchange, service, nowNanos).map((path) -> new Forwarding(path.firstEngine().upstream(),
					remaining, exchange.team(), Optional.of(path), lastEventId));
		});
	}

	// Returns the tokens of a request that is sent to a service.
	RequestTokens requestTokens(RelayExchange exchange, String service) {
		EngineProfile profile = this.profiles.get(service);
		if (this.expectedCost && profile != null) {
			return this.costs.estimate(exchange, service, profile);
		}
		return new RequestTokens(exchange.call().promptTokens(), exchange.call().maxOutputTokens());
	}

	// Finds a path through the engines of a service, relaxing the criteria step by step.
	private Optional<EnginePath> selectPath(RelayExchange exchange, String service, long nowNanos) {
		List<EngineInstance> engines = new ArrayList<>();
		this.eligible.entries(service, nowNanos).forEach((entry) -> entry.engine().ifPresent(engines::add));
		EngineProfile profile = this.profiles.get(service);
		RequestTokens tokens = requestTokens(exchange, service);
		Predicate<EngineInstance> notFailed = (engine) -> !exchange.failedUpstreams().contains(engine.id());
		Predicate<EngineInstance> notEjected = notFailed.and((engine) -> !this.health.isEjected(engine.id(), nowNanos));
		Predicate<EngineInstance> unsuspected = notEjected
			.and((engine) -> !exchange.suspectedUpstreams().contains(engine.id()));
		// From preferred engines to the last resort.
		Stream<Predicate<EngineInstance>> tiers = Stream.of(
				unsuspected.and((engine) -> hasRoom(profile, engine, tokens, nowNanos)), unsuspected, notEjected,
				notFailed.and((engine) -> !this.health.isStalled(engine.id(), nowNanos)), notFailed);
		return tiers.map((eligible) -> findPath(service, tokens, engines.stream().filter(eligible).toList(), nowNanos))
			.flatMap(Optional::stream)
			.findFirst();
	}

	// Returns whether the request of an attempt could be sent once more in time, to
	// upstreams that have not failed it, are not stalled and are not among those to
	// avoid. One that is at a sibling can be passed on once more.
	boolean hasAlternative(RelayAttempt attempt, Set<String> avoidedIds, long nowNanos) {
		RelayExchange exchange = attempt.exchange();
		if (attempt.sibling().isPresent()) {
			return true;
		}
		return exchange.remainingTime(nowNanos).compareTo(RequestDispatcher.MIN_REMAINING_TIME) >= 0 && exchange.rule()
			.services()
			.stream()
			.filter((split) -> split.weight() > 0)
			.allMatch((split) -> hasAlternative(exchange, split.service(), avoidedIds, nowNanos));
	}

	private boolean hasAlternative(RelayExchange exchange, String service, Set<String> avoidedIds, long nowNanos) {
		List<DirectoryEntry> others = this.eligible.entries(service, nowNanos)
			.stream()
			.filter((entry) -> !avoidedIds.contains(entry.instance().id())
					&& !exchange.failedUpstreams().contains(entry.instance().id()))
			.toList();
		if (!this.pathFinders.containsKey(service)) {
			return !others.isEmpty();
		}
		List<EngineInstance> engines = others.stream()
			.flatMap((entry) -> entry.engine().stream())
			.filter((engine) -> !this.health.isStalled(engine.id(), nowNanos))
			.toList();
		return findPath(service, requestTokens(exchange, service), engines, nowNanos).isPresent();
	}

	private Optional<EnginePath> findPath(String service, RequestTokens tokens, List<EngineInstance> engines,
			long nowNanos) {
		EngineProfile profile = this.profiles.get(service);
		return this.pathFinders.get(service)
			.find(engines, tokens, slowdown(profile, nowNanos), queuedPromptTokens(nowNanos),
					crossingMillis(profile, tokens, nowNanos), this.random);
	}

	// Returns how long an attempt on a path is expected to take from now on, before its
	// own work is added, or empty for one without path or without expected cost.
	OptionalDouble expectedMillis(RelayAttempt attempt, long nowNanos) {
		String service = attempt.forwarding().upstream().service();
		EngineProfile profile = this.profiles.get(service);
		if (!this.expectedCost || profile == null || attempt.forwarding().path().isEmpty()) {
			return OptionalDouble.empty();
		}
		double crossingMillis = profile.pipe().map((pipe) -> pipe.crossingMillis(attempt.tokens())).orElse(0.0);
		return OptionalDouble.of(this.pathFinders.get(service)
			.expectedMillis(attempt.forwarding().path().get(), attempt.tokens(), slowdown(profile, nowNanos),
					queuedPromptTokens(nowNanos), crossingMillis));
	}

	private ToDoubleFunction<EngineInstance> slowdown(EngineProfile profile, long nowNanos) {
		return (engine) -> this.slowdowns.slowdown(engine.id(), nowNanos)
				* (1 + utilization(profile, engine, nowNanos) * SLOWDOWN_AT_FULL_UTILIZATION);
	}

	private ToDoubleFunction<EngineInstance> queuedPromptTokens(long nowNanos) {
		return (engine) -> this.slowdowns.slowdown(engine.id(), nowNanos)
				* work(engine.id(), nowNanos).pendingPromptTokens();
	}

	// Returns the time that a hop to another data centre adds.
	private double crossingMillis(EngineProfile profile, RequestTokens tokens, long nowNanos) {
		if (!this.expectedCost || !this.pipeBudget.hasRoom(this.daemonCount, nowNanos)) {
			return PathFinder.CROSS_DATA_CENTRE_PENALTY_MILLIS;
		}
		return profile.pipe()
			.map((pipe) -> MIN_CROSSING_GAIN_MILLIS + pipe.crossingMillis(tokens))
			.orElse(PathFinder.CROSS_DATA_CENTRE_PENALTY_MILLIS);
	}

	// Returns whether an engine is expected to have room for a request to its end.
	private boolean hasRoom(EngineProfile profile, EngineInstance engine, RequestTokens tokens, long nowNanos) {
		if (!this.expectedCost) {
			return utilization(profile, engine, nowNanos) < SATURATION_THRESHOLD;
		}
		EngineWork work = work(engine.id(), nowNanos);
		boolean memory = work.tokens() + tokens.highTotal() <= profile.cacheTokens(engine) * USABLE_MEMORY;
		return memory && slotUse(engine, work) < SATURATION_THRESHOLD;
	}

	// Returns the work of this daemon's requests by upstream id.
	Map<String, EngineWork> ownWork() {
		return this.load.snapshot();
	}

	// Returns the work that all daemons are expected to have at an upstream.
	private EngineWork work(String id, long nowNanos) {
		return this.outstandingWork.at(id, this.load.at(id), nowNanos)
			.plus(new EngineWork(0, this.observedRoom.unexpectedTokens(id, nowNanos), 0));
	}

	// Returns the used share of an engine: of its cache memory or, for an engine that can
	// be the first of a path, of its request slots if that is more.
	private double utilization(EngineProfile profile, EngineInstance engine, long nowNanos) {
		EngineWork work = work(engine.id(), nowNanos);
		double memoryUse = work.tokens() / Math.max(1, profile.cacheTokens(engine));
		return Math.max(memoryUse, slotUse(engine, work));
	}

	// Returns the used share of an engine's request slots, 0 for one that cannot be the
	// first of a path.
	private static double slotUse(EngineInstance engine, EngineWork work) {
		boolean first = engine.layers().map((held) -> held.first() == 0).orElse(false);
		return first ? work.requests() / Math.max(1, engine.upstream().slots()) : 0;
	}

	// Selects the least loaded instance of a plain service, with preference for instances
	// that are not ejected and then, at equal load, for the local data centre.
	private Optional<UpstreamInstance> selectInstance(RelayExchange exchange, String service, long nowNanos) {
		Comparator<UpstreamInstance> leastLoaded = Comparator
			.comparing((UpstreamInstance instance) -> this.health.isEjected(instance.id(), nowNanos))
			.thenComparing((instance) -> this.balanceBySlots ? slotUse(instance, nowNanos)
					: this.load.at(instance.id()).requests())
			.thenComparing((instance) -> !instance.dataCentre().equals(this.dataCentre));
		List<UpstreamInstance> instances = new ArrayList<>();
		this.eligible.entries(service, nowNanos)
			.stream()
			.map(DirectoryEntry::instance)
			.filter((instance) -> !exchange.failedUpstreams().contains(instance.id()))
			.forEach(instances::add);
		// All daemons list the instances in the same order, so each one begins elsewhere.
		if (this.balanceBySlots && !instances.isEmpty()) {
			Collections.rotate(instances, this.random.nextInt(instances.size()));
		}
		return instances.stream().min(leastLoaded);
	}

	// Returns the expected use of an instance's slots by all daemons, 1 if all are used.
	private double slotUse(UpstreamInstance instance, long nowNanos) {
		return work(instance.id(), nowNanos).requests() / Math.max(1, instance.slots());
	}

	// Returns whether the upstreams of a route have room for a request now. If requests
	// are split among several services, room at one of them counts.
	Room room(RelayExchange exchange, long nowNanos) {
		return exchange.rule()
			.services()
			.stream()
			.filter((split) -> split.weight() > 0)
			.map((split) -> room(exchange, split.service(), nowNanos))
			.min(Comparator.naturalOrder())
			.orElse(Room.UNKNOWN);
	}

	private Room room(RelayExchange exchange, String service, long nowNanos) {
		List<DirectoryEntry> entries = this.eligible.entries(service, nowNanos)
			.stream()
			.filter((entry) -> !exchange.failedUpstreams().contains(entry.instance().id()))
			.toList();
		Predicate<DirectoryEntry> notEjected = (entry) -> !this.health.isEjected(entry.instance().id(), nowNanos);
		Predicate<DirectoryEntry> saturated = (entry) -> this.health.isSaturated(entry.instance().id(), nowNanos);
		if (isServed(service, entries, notEjected.and((entry) -> hasRoom(exchange, service, entry, nowNanos)))) {
			return Room.FREE;
		}
		if (isServed(service, entries, notEjected)) {
			return Room.BUSY;
		}
		return isServed(service, entries, notEjected.or(saturated)) ? Room.FULL : Room.UNKNOWN;
	}

	private boolean hasRoom(RelayExchange exchange, String service, DirectoryEntry entry, long nowNanos) {
		EngineProfile profile = this.profiles.get(service);
		if (profile == null) {
			return entry.instance().slots() == 0 || slotUse(entry.instance(), nowNanos) < 1;
		}
		RequestTokens tokens = requestTokens(exchange, service);
		return entry.engine().filter((engine) -> hasRoom(profile, engine, tokens, nowNanos)).isPresent();
	}

	// Returns whether some of the entries can serve a request: one of a plain service, or
	// engines that hold all layers together.
	private boolean isServed(String service, List<DirectoryEntry> entries, Predicate<DirectoryEntry> eligible) {
		EngineProfile profile = this.profiles.get(service);
		if (profile == null) {
			return entries.stream().anyMatch(eligible);
		}
		int covered = 0;
		for (LayerRange layers : entries.stream()
			.filter(eligible)
			.flatMap((entry) -> entry.engine().flatMap(EngineInstance::layers).stream())
			.sorted(Comparator.comparingInt(LayerRange::first))
			.toList()) {
			if (layers.first() <= covered) {
				covered = Math.max(covered, layers.end());
			}
		}
		return covered >= profile.layers();
	}

	void recordSent(RelayAttempt attempt) {
		this.load.add(attempt.upstreamIds(), attempt.tokens());
		int crossings = attempt.forwarding().path().map(EnginePath::crossings).orElse(0);
		if (crossings > 0) {
			Optional.ofNullable(this.profiles.get(attempt.forwarding().upstream().service()))
				.flatMap(EngineProfile::pipe)
				.ifPresent((pipe) -> this.pipeBudget.charge(crossings * pipe.occupiedMillis(attempt.tokens()),
						this.daemonCount, attempt.startedNanos()));
		}
	}

	// Records that an engine had no room for an attempt. It is ejected for a moment,
	// since
	// a dead engine looks the same, and then avoided in proportion to what the estimate
	// of
	// its work lacked.
	void recordNoRoom(RelayAttempt attempt, String id, long nowNanos) {
		Optional<EngineProfile> profile = Optional
			.ofNullable(this.profiles.get(attempt.forwarding().upstream().service()));
		Optional<EngineInstance> engine = this.directory.find(id).flatMap(DirectoryEntry::engine);
		this.health.recordSaturation(id, nowNanos);
		if (!this.expectedCost || profile.isEmpty() || engine.isEmpty()) {
			return;
		}
		double estimatedTokens = this.outstandingWork.at(id, this.load.at(id), nowNanos).tokens();
		this.observedRoom.recordRejected(id, profile.get().cacheTokens(engine.get()), estimatedTokens, nowNanos);
	}

	// Learns from a stream that is complete. Returns the real output by the expected one,
	// empty if it cannot be told.
	OptionalDouble recordCompleted(RelayAttempt attempt, long nowNanos) {
		EngineProfile profile = this.profiles.get(attempt.forwarding().upstream().service());
		if (!this.expectedCost || profile == null) {
			return OptionalDouble.empty();
		}
		attempt.upstreamIds().forEach((id) -> this.observedRoom.recordSuccess(id, nowNanos));
		OptionalDouble tokens = this.costs.recordCompleted(attempt.exchange(),
				attempt.forwarding().upstream().service(), profile);
		return (tokens.isPresent() && attempt.exchange().attempts() == 1 && attempt.tokens().output() > 0)
				? OptionalDouble.of(tokens.getAsDouble() / attempt.tokens().output()) : OptionalDouble.empty();
	}

	// Returns the profiles of the services that run on engines.
	Map<String, EngineProfile> profiles() {
		return this.profiles;
	}

	// Adds what attempts that write more than expected hold beyond their estimates.
	void reviseLoad(List<RelayExchange> exchanges) {
		for (RelayExchange exchange : exchanges) {
			RelayAttempt attempt = exchange.currentAttempt();
			if (attempt == null || attempt.isReleased() || attempt.forwarding().path().isEmpty()) {
				continue;
			}
			Optional.ofNullable(this.profiles.get(attempt.forwarding().upstream().service()))
				.flatMap((profile) -> this.costs.revise(attempt, profile))
				.ifPresent((revised) -> {
					this.load.addTokens(attempt.upstreamIds(), revised.total() - attempt.heldTokens().total());
					attempt.setHeldTokens(revised);
				});
		}
	}

	// Subtracts the attempt's prompt from its upstreams' pending prefill, at most once.
	void recordPrefillDone(RelayAttempt attempt) {
		if (attempt.markPrefillDone()) {
			this.load.completePrefill(attempt.upstreamIds(), attempt.tokens());
		}
	}

	// Removes the attempt from the load of its upstreams, at most once.
	void releaseLoad(RelayAttempt attempt) {
		if (attempt.markReleased()) {
			recordPrefillDone(attempt);
			this.load.remove(attempt.upstreamIds(), attempt.heldTokens());
		}
	}

}
