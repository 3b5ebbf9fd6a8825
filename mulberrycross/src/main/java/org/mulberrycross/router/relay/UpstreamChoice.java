package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.engine.AcceleratorKind;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EnginePath;
import org.mulberrycross.engine.EngineProfile;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.PathFinder;
import org.mulberrycross.engine.RequestTokens;

/**
 * Chooses the upstream, or the path of engines, that gets a request. Owned by the control
 * thread; not thread-safe.
 */
final class UpstreamChoice {

	/**
	 * Share of an engine's memory at which requests go elsewhere. Each daemon knows only
	 * its own requests and takes the others' to be as many.
	 */
	private static final double FULL = 0.9;

	/**
	 * How much slower a request is expected to be on an engine whose memory is in use.
	 */
	private static final double SLOWDOWN_WHEN_FULL = 4;

	private final UpstreamDirectory directory;

	private final UpstreamHealth health;

	private final UpstreamLoad load = new UpstreamLoad();

	private final Map<String, PathFinder> finders = new HashMap<>();

	private final Map<String, EngineProfile> profiles = new HashMap<>();

	private final String dataCentre;

	private final RandomGenerator random;

	private int daemons;

	UpstreamChoice(UpstreamDirectory directory, UpstreamHealth health, String dataCentre, RandomGenerator random,
			int daemons) {
		this.directory = directory;
		this.health = health;
		this.dataCentre = dataCentre;
		this.random = random;
		this.daemons = daemons;
	}

	void daemons(int count) {
		this.daemons = count;
	}

	void configure(ServingConfiguration configuration) {
		this.finders.clear();
		this.profiles.clear();
		this.profiles.putAll(configuration.enginesByService());
		this.profiles.forEach((service, profile) -> this.finders.put(service, new PathFinder(profile)));
	}

	// Chooses where a request goes, or returns empty if no upstream can take it.
	Optional<Forwarding> choose(RelayExchange exchange, Duration remaining, long nowNanos) {
		OptionalLong lastEvent = exchange.stream() ? exchange.lastEventId() : OptionalLong.empty();
		return exchange.rule().choose(this.random).flatMap((service) -> {
			if (!this.finders.containsKey(service)) {
				return instance(exchange, service, nowNanos).map((instance) -> new Forwarding(instance, remaining,
						exchange.team(), Optional.empty(), lastEvent));
			}
			return path(exchange, service, nowNanos).map((path) -> new Forwarding(path.first().upstream(), remaining,
					exchange.team(), Optional.of(path), lastEvent));
		});
	}

	static RequestTokens tokens(RelayExchange exchange) {
		return new RequestTokens(exchange.call().promptTokens(), exchange.call().maxOutputTokens());
	}

	private Optional<EnginePath> path(RelayExchange exchange, String service, long nowNanos) {
		List<EngineInstance> engines = new ArrayList<>();
		this.directory.serving(service).forEach((entry) -> entry.engine().ifPresent(engines::add));
		EngineProfile profile = this.profiles.get(service);
		Predicate<EngineInstance> untried = (engine) -> !exchange.failedUpstreams().contains(engine.id());
		Predicate<EngineInstance> sound = untried.and((engine) -> !this.health.avoided(engine.id(), nowNanos));
		Predicate<EngineInstance> unsuspected = sound
			.and((engine) -> !exchange.suspectedUpstreams().contains(engine.id()));
		// From the best engines to those that are a last resort.
		Stream<Predicate<EngineInstance>> choices = Stream.of(unsuspected.and((engine) -> hasRoom(profile, engine)),
				unsuspected, sound, untried.and((engine) -> !this.health.stalledNow(engine.id(), nowNanos)), untried);
		return choices.map((usable) -> find(exchange, service, engines.stream().filter(usable).toList()))
			.flatMap(Optional::stream)
			.findFirst();
	}

	private Optional<EnginePath> find(RelayExchange exchange, String service, List<EngineInstance> engines) {
		EngineProfile profile = this.profiles.get(service);
		return this.finders.get(service)
			.find(engines, tokens(exchange), (engine) -> 1 + used(profile, engine) * SLOWDOWN_WHEN_FULL,
					(engine) -> this.load.unread(engine.id()) * this.daemons, this.random);
	}

	private boolean hasRoom(EngineProfile profile, EngineInstance engine) {
		return used(profile, engine) < FULL;
	}

	// Returns the share of an engine that is in use: of its memory or, on an engine that
	// takes requests from daemons, of its slots.
	private double used(EngineProfile profile, EngineInstance engine) {
		int layers = engine.layers().map(LayerRange::size).orElse(0);
		double memory = profile.kind(engine).map(AcceleratorKind::memoryMb).orElse(0.0) - layers * profile.layerMb();
		double room = memory / (profile.cacheMbPerTokenAndLayer() * Math.max(1, layers));
		double used = this.load.tokens(engine.id()) * this.daemons / Math.max(1, room);
		if (engine.layers().map((held) -> held.first() > 0).orElse(true)) {
			return used;
		}
		double slots = Math.max(1, engine.upstream().slots());
		return Math.max(used, this.load.requests(engine.id()) * this.daemons / slots);
	}

	private Optional<UpstreamInstance> instance(RelayExchange exchange, String service, long nowNanos) {
		Comparator<UpstreamInstance> leastLoaded = Comparator
			.comparing((UpstreamInstance instance) -> this.health.avoided(instance.id(), nowNanos))
			.thenComparing((instance) -> this.load.requests(instance.id()))
			.thenComparing((instance) -> !instance.dataCentre().equals(this.dataCentre));
		return this.directory.serving(service)
			.stream()
			.map(DirectoryEntry::instance)
			.filter((instance) -> !exchange.failedUpstreams().contains(instance.id()))
			.min(leastLoaded);
	}

	void sent(RelayAttempt attempt) {
		this.load.add(attempt.upstreams(), attempt.tokens());
	}

	void promptRead(RelayAttempt attempt) {
		if (attempt.readPrompt()) {
			this.load.read(attempt.upstreams(), attempt.tokens());
		}
	}

	void ended(RelayAttempt attempt) {
		if (attempt.release()) {
			promptRead(attempt);
			this.load.remove(attempt.upstreams(), attempt.tokens());
		}
	}

}
