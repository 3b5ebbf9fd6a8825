package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EnginePath;
import org.mulberrycross.engine.EngineProfile;
import org.mulberrycross.engine.MoveCause;
import org.mulberrycross.engine.ObservedStream;
import org.mulberrycross.engine.RestartEstimate;
import org.mulberrycross.engine.RestartTimes;
import org.mulberrycross.engine.StreamMove;
import org.mulberrycross.engine.StreamMovePlanner;
import org.mulberrycross.engine.StreamPace;

/**
 * Moves silent streams to other paths before their pause exceeds the target of their
 * route. Shows the streams in flight to the planner and carries out its moves as retries.
 * Confined to the control thread; not thread-safe.
 */
final class EarlyMoves {

	/**
	 * Silence of a left path after which its first engine is asked which engine is
	 * stalled, as for streams that are not moved.
	 */
	private static final Duration PROBE_DELAY = AttemptTimeouts.STREAM_PROBE_DELAY;

	/**
	 * Time without a connection after which no stream is moved to an engine; several
	 * round trips within a region.
	 */
	private static final Duration SLOW_CONNECT_TIME = Duration.ofMillis(50);

	/** Time in which the answer of an engine arrives and is acted on. */
	private static final Duration PROBE_REPLY_TIME = Duration.ofMillis(400);

	/** Silence of a left path after which its first engine is no longer asked. */
	private static final Duration UNCLEAR_TIME = Duration.ofSeconds(1);

	private StreamMovePlanner planner = new StreamMovePlanner(RelayControl.CHECK_PERIOD);

	private final RestartTimes restartTimes = new RestartTimes();

	private final InFlightRequests inFlight;

	private final UpstreamSelector selector;

	private final UpstreamHealth health;

	private final Function<String, Optional<EngineProfile>> profiles;

	private final MoveCheck moveCheck;

	private final AttemptMonitor.FailureHandler failureHandler;

	private final RelayMetrics metrics;

	private final RequestLog requestLog;

	/** Last activity of the streams that have left a path and have no event since. */
	private final Map<RelayExchange, Long> lostNanos = new HashMap<>();

	/** When engines were ejected because their streams were silent. */
	private final Map<String, Long> ejectedNanos = new HashMap<>();

	private final List<UnclearPath> unclearPaths = new ArrayList<>();

	/** Paths whose first engine was asked shortly before. */
	private final List<AskedPath> askedPaths = new ArrayList<>();

	private StreamPace firstEvents = StreamPace.initial();

	/** Engines that may be silent or do not accept connections, at the last check. */
	private Set<String> avoidedIds = Set.of();

	private Set<String> unreachableIds = Set.of();

	private boolean enabled;

	EarlyMoves(RelaySettings settings, InFlightRequests inFlight, UpstreamSelector selector, UpstreamHealth health,
			Function<String, Optional<EngineProfile>> profiles, MoveCheck moveCheck,
			AttemptMonitor.FailureHandler failureHandler, RelayMetrics metrics, RequestLog requestLog) {
		this.inFlight = inFlight;
		this.selector = selector;
		this.health = health;
		this.profiles = profiles;
		this.moveCheck = moveCheck;
		this.failureHandler = failureHandler;
		this.metrics = metrics;
		this.requestLog = requestLog;
		reload(settings);
	}

	void reload(RelaySettings settings) {
		this.enabled = settings.features().earlyMoves();
		if (!this.enabled) {
			this.planner = new StreamMovePlanner(RelayControl.CHECK_PERIOD);
			this.lostNanos.clear();
			this.ejectedNanos.clear();
			this.unclearPaths.clear();
			this.askedPaths.clear();
		}
	}

	// Learns from the first event of an attempt how long paths need, and counts a stream
	// that goes on after a loss as on time or late.
	void recordFirstData(RelayAttempt attempt, long nowNanos) {
		if (!this.enabled) {
			return;
		}
		RelayExchange exchange = attempt.exchange();
		Optional<Long> lost = Optional.ofNullable(this.lostNanos.remove(exchange));
		lost.ifPresent((nanos) -> recordPause(exchange, Duration.ofNanos(nowNanos - nanos)));
		attempt.forwarding().path().ifPresent((path) -> {
			Duration time = Duration.ofNanos(nowNanos - attempt.startedNanos());
			this.firstEvents = this.firstEvents.withPause(time.toNanos());
			profile(attempt).ifPresent((profile) -> this.restartTimes.record(profile, path,
					tokensToRead(exchange, attempt.forwarding().lastEventId()), time));
		});
		attempt.upstreamIds().forEach(this.health::endSilence);
	}

	private void recordPause(RelayExchange exchange, Duration pause) {
		exchange.rule().pauseTarget().ifPresent((target) -> {
			this.metrics.countStreamAfterLoss(pause.compareTo(target) > 0);
			this.requestLog.logContinued(exchange, pause, target);
		});
	}

	// Records that an attempt whose stream had begun ended without the rest of it.
	void recordLoss(RelayAttempt attempt) {
		if (this.enabled && attempt.exchange().isStream() && attempt.exchange().isResponseStarted()) {
			this.lostNanos.putIfAbsent(attempt.exchange(), attempt.lastActivityNanos());
		}
	}

	// Returns the first engines that have not accepted a connection for a while.
	private Set<String> unreachable(long nowNanos) {
		return this.inFlight.snapshot()
			.stream()
			.map(RelayExchange::currentAttempt)
			.filter((attempt) -> attempt != null && !attempt.wasSent()
					&& nowNanos - attempt.startedNanos() > SLOW_CONNECT_TIME.toNanos())
			.map((attempt) -> attempt.forwarding().upstream().id())
			.collect(Collectors.toSet());
	}

	// Moves the streams whose pause would become too long, and returns the engines to ask
	// which engine is stalled, since the silence did not tell.
	List<EngineInstance> check(long nowNanos) {
		if (!this.enabled) {
			return List.of();
		}
		this.lostNanos.keySet().removeIf(RelayExchange::isFinished);
		Map<String, RelayAttempt> attempts = new LinkedHashMap<>();
		List<ObservedStream> streams = new ArrayList<>();
		for (RelayExchange exchange : this.inFlight.snapshot()) {
			RelayAttempt attempt = exchange.currentAttempt();
			if (exchange.rule() != null && attempt != null && attempt.wasSent()) {
				// Callers choose the ids of their calls, so several may have the same.
				observe(Integer.toString(attempts.size()), exchange, attempt).ifPresent((stream) -> {
					attempts.put(stream.id(), attempt);
					streams.add(stream);
				});
			}
		}
		this.unreachableIds = unreachable(nowNanos);
		List<StreamMove> moves = this.planner.plan(streams,
				(stream, avoidedIds) -> estimateRestart(attempts.get(stream.id()), avoidedIds, nowNanos), nowNanos);
		readmitSoundEngines(nowNanos);
		moves.forEach((move) -> move.culpritId().ifPresent((id) -> eject(id, nowNanos)));
		moves.forEach((move) -> carryOut(move, attempts.get(move.stream().id()), nowNanos));
		this.metrics.countNeedlessMoves(this.planner.takeNeedlessMoves());
		return takeDueProbes(nowNanos);
	}

	private void eject(String id, long nowNanos) {
		this.health.recordSilence(id, nowNanos);
		this.ejectedNanos.put(id, nowNanos);
	}

	// Ends the ejections of engines that an event of any stream has passed since.
	private void readmitSoundEngines(long nowNanos) {
		this.ejectedNanos.keySet().removeIf((id) -> !this.health.isEjected(id, nowNanos));
		List<String> soundIds = this.ejectedNanos.entrySet()
			.stream()
			.filter((entry) -> this.planner.isAliveSince(entry.getKey(), entry.getValue()))
			.map(Map.Entry::getKey)
			.toList();
		soundIds.forEach(this.health::endSilence);
		this.ejectedNanos.keySet().removeAll(soundIds);
	}

	private Optional<ObservedStream> observe(String id, RelayExchange exchange, RelayAttempt attempt) {
		if (!exchange.isStream() || attempt.forwarding().path().isEmpty()) {
			return Optional.empty();
		}
		long lastActivityNanos = attempt.lastActivityNanos();
		boolean begun = attempt.hasReceivedData();
		// A resumed stream is late by its pause, a new one by its first event.
		Duration limit = exchange.rule().pauseTarget().orElse(exchange.rule().targetLatency());
		if (!begun && !exchange.isResponseStarted()) {
			limit = exchange.rule().targetLatency().minus(exchange.age(lastActivityNanos));
		}
		return Optional.of(new ObservedStream(id, attempt.upstreamIds(), begun, lastActivityNanos,
				begun ? attempt.pace() : this.firstEvents, limit, exchange.rule().pauseTarget().isPresent()));
	}

	// Estimates the restart on the path that would be selected now. Empty if it contains
	// engines that are to be avoided or are ejected, for example as saturated.
	private Optional<RestartEstimate> estimateRestart(RelayAttempt attempt, Set<String> silentIds, long nowNanos) {
		this.avoidedIds = Stream.concat(silentIds.stream(), this.unreachableIds.stream()).collect(Collectors.toSet());
		RelayExchange exchange = attempt.exchange();
		if (!mayMove(exchange)) {
			return Optional.empty();
		}
		Set<String> suspectedBefore = Set.copyOf(exchange.suspectedUpstreams());
		exchange.suspectedUpstreams().addAll(this.avoidedIds);
		Optional<EnginePath> path = this.selector.select(exchange, exchange.remainingTime(nowNanos), nowNanos)
			.flatMap(Forwarding::path);
		exchange.suspectedUpstreams().retainAll(suspectedBefore);
		return path
			.filter((found) -> found.stages()
				.stream()
				.map((stage) -> stage.engine().id())
				.noneMatch((id) -> this.avoidedIds.contains(id) || this.health.isEjected(id, nowNanos)))
			.flatMap((found) -> profile(attempt).map((profile) -> this.restartTimes.estimate(profile, found,
					tokensToRead(exchange, exchange.lastEventId()))));
	}

	private boolean mayMove(RelayExchange exchange) {
		return this.moveCheck.mayMove(exchange, this.lostNanos.size());
	}

	private Optional<EngineProfile> profile(RelayAttempt attempt) {
		return this.profiles.apply(attempt.forwarding().upstream().service());
	}

	// The ids of events count tokens.
	private static double tokensToRead(RelayExchange exchange, OptionalLong lastEventId) {
		return exchange.call().promptTokens() + Math.max(0, lastEventId.orElse(0));
	}

	private void carryOut(StreamMove move, RelayAttempt attempt, long nowNanos) {
		RelayExchange exchange = attempt.exchange();
		// The moves before may have taken the retries or the path that this one needs.
		if (hasGoneOn(move, attempt) || takesLastExecution(move, exchange)
				|| estimateRestart(attempt, this.avoidedIds, nowNanos).isEmpty()) {
			return;
		}
		this.planner.recordMoved(move, nowNanos);
		this.metrics.countMove(move.cause());
		this.requestLog.logMove(attempt, move);
		if (move.culpritId().isEmpty()) {
			this.unclearPaths.add(new UnclearPath(attempt.forwarding().path().orElseThrow().firstEngine(),
					move.candidateIds(), move.stream().lastActivityNanos()));
		}
		exchange.suspectedUpstreams().addAll(this.avoidedIds);
		this.failureHandler.fail(attempt, move.culpritId().map(Set::of).orElse(Set.of()),
				"silent, moved before its pause is too long", true);
	}

	// Returns whether the stream has ended, moved or had an event since it was observed.
	private static boolean hasGoneOn(StreamMove move, RelayAttempt attempt) {
		RelayExchange exchange = attempt.exchange();
		return exchange.isFinished() || exchange.currentAttempt() != attempt
				|| attempt.lastActivityNanos() != move.stream().lastActivityNanos();
	}

	// A stream that is moved for its own silence alone may be sound, so an execution is
	// kept for a failure of the new path.
	private static boolean takesLastExecution(StreamMove move, RelayExchange exchange) {
		return move.cause() == MoveCause.LONE_SILENCE && exchange.executions() + 1 >= exchange.rule().maxExecutions();
	}

	// Returns the first engines of left paths when those of silent streams are asked too,
	// unless the engine at fault is known or events have passed all engines meanwhile. Of
	// paths with a common candidate, one is asked at a time.
	private List<EngineInstance> takeDueProbes(long nowNanos) {
		this.askedPaths.removeIf((asked) -> nowNanos - asked.askedNanos() > PROBE_REPLY_TIME.toNanos());
		this.unclearPaths.removeIf((path) -> nowNanos - path.lastActivityNanos() > UNCLEAR_TIME.toNanos());
		List<EngineInstance> due = new ArrayList<>();
		for (Iterator<UnclearPath> paths = this.unclearPaths.iterator(); paths.hasNext();) {
			UnclearPath path = paths.next();
			if (nowNanos - path.lastActivityNanos() <= PROBE_DELAY.toNanos()) {
				continue;
			}
			if (isExplained(path, nowNanos)) {
				paths.remove();
			}
			else if (this.askedPaths.stream()
				.allMatch((asked) -> Collections.disjoint(asked.path().candidateIds(), path.candidateIds()))) {
				paths.remove();
				due.add(path.firstEngine());
				this.askedPaths.add(new AskedPath(path, nowNanos));
			}
		}
		return due;
	}

	private boolean isExplained(UnclearPath path, long nowNanos) {
		return path.candidateIds()
			.stream()
			.anyMatch((id) -> this.planner.isBlamed(id) || this.health.isStalled(id, nowNanos))
				|| path.candidateIds()
					.stream()
					.allMatch((id) -> this.planner.isAliveSince(id, path.lastActivityNanos()));
	}

	/** Decides whether a stream may be moved, by the retries that are left. */
	@FunctionalInterface
	interface MoveCheck {

		// Returns whether a stream may be moved while others have been without an event.
		boolean mayMove(RelayExchange exchange, int movesUnderWay);

	}

	/** A path that a stream left although it is not clear which engine is silent. */
	private record UnclearPath(EngineInstance firstEngine, Set<String> candidateIds, long lastActivityNanos) {

	}

	/** A path whose first engine was asked at a time. */
	private record AskedPath(UnclearPath path, long askedNanos) {

	}

}
