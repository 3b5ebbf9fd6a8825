package org.mulberrycross.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Decides which silent streams are moved to another path before their pause is too long.
 * An engine is a candidate for the cause if no event has passed it since a stream on it
 * should have had its next one. Streams move only while others go on, so that an overload
 * does not turn into a wave of moves. Confined to the control thread; not thread-safe.
 */
public final class StreamMovePlanner {

	/** Time for which silence counts against an engine of which nothing is seen. */
	static final Duration SUSPICION_TIME = Duration.ofSeconds(1);

	/** Estimates of restarts in a check at most, since each selects a path. */
	static final int MAX_ESTIMATES = 64;

	/** Shortest restart: a connection and a step of decoding on each engine. */
	private static final Duration MIN_RESTART = Duration.ofMillis(10);

	/** Period of the limit on moves. */
	private static final Duration LIMIT_PERIOD = Duration.ofSeconds(1);

	/**
	 * Streams that may be silent or move whatever the share, since a router with few
	 * streams cannot tell a lost engine from an overload by the share.
	 */
	private static final int MIN_LIMIT = 2;

	/** Share of the streams that are silent or move in a period at most. */
	private static final double MAX_SHARE = 0.5;

	/**
	 * Checks that may be missed before this router is taken to have been paused itself,
	 * when all streams look silent.
	 */
	private static final int MAX_MISSED_CHECKS = 3;

	/** Share of the expected restart that some restarts take. */
	private static final double FAST_RESTART_SHARE = 0.5;

	/**
	 * Restart of streams that are lost together, relative to that of one: they read their
	 * tokens on the remaining engines at the same time.
	 */
	private static final double JOINT_RESTART_FACTOR = 2;

	/**
	 * Silent streams by which an engine is ahead of all others of a path if it is at
	 * fault.
	 */
	private static final int BLAME_MARGIN = 2;

	private final long checkPeriodNanos;

	private final Map<String, Long> lastAliveNanos = new HashMap<>();

	private final Map<String, Long> blamedNanos = new HashMap<>();

	private final List<LeftPath> leftPaths = new ArrayList<>();

	private final Deque<Long> moveTimes = new ArrayDeque<>();

	private Optional<Long> lastCheckNanos = Optional.empty();

	/** The time from which on a silence is that of the engines, not of this router. */
	private Optional<Long> observedFromNanos = Optional.empty();

	private long needlessMoves;

	private int estimatesLeft;

	/**
	 * Creates a planner.
	 * @param checkPeriod the time between two calls of {@link #plan}, not null
	 */
	public StreamMovePlanner(Duration checkPeriod) {
		this.checkPeriodNanos = checkPeriod.toNanos();
	}

	/**
	 * Selects the streams to move now, those that are late first before others.
	 * @param streams the streams in flight, not null
	 * @param restarts estimates the time until the next event on another path, not null
	 * @param nowNanos the time on the router's monotonic clock
	 * @return the moves, not null
	 */
	public List<StreamMove> plan(List<ObservedStream> streams, RestartEstimator restarts, long nowNanos) {
		this.estimatesLeft = MAX_ESTIMATES;
		noticeOwnPause(nowNanos);
		streams.stream().filter(ObservedStream::begun).forEach(this::recordAlive);
		forgetOld(nowNanos);
		Optional<StreamPace> usualPace = slowestPace(streams);
		List<ObservedStream> begun = streams.stream().filter(ObservedStream::begun).toList();
		double limit = Math.max(MIN_LIMIT, begun.size() * MAX_SHARE);
		List<Silence> silences = streams.stream()
			.flatMap((stream) -> silence(stream, usualPace, nowNanos).stream())
			.sorted(Comparator.comparingLong(Silence::remainingNanos))
			.toList();
		long silent = silences.stream().filter((silence) -> silence.stream().begun()).count();
		if (silent > limit) {
			return List.of();
		}
		return select(silences.stream().filter((silence) -> countUnseen(begun, silence) <= limit).toList(), restarts,
				limit, nowNanos);
	}

	// Returns the number of streams without an event since a silent one should have had
	// its next one. If all stop at once, they do not become noticeable at the same time.
	private static long countUnseen(List<ObservedStream> begun, Silence silence) {
		return begun.stream().filter((stream) -> stream.lastActivityNanos() - silence.dueNanos() <= 0).count();
	}

	private List<StreamMove> select(List<Silence> silences, RestartEstimator restarts, double limit, long nowNanos) {
		Map<String, Integer> silentCounts = countSilent(silences);
		Set<String> avoidedIds = new HashSet<>(this.blamedNanos.keySet());
		avoidedIds.addAll(silentCounts.keySet());
		List<StreamMove> moves = new ArrayList<>();
		for (Silence silence : silences) {
			if (silence.stream().movable() && !silence.candidateIds().isEmpty()
					&& this.moveTimes.size() + moves.size() < limit) {
				decide(silence, silentCounts, avoidedIds, restarts).ifPresent(moves::add);
			}
		}
		moves.forEach((move) -> move.culpritId().ifPresent((id) -> this.blamedNanos.putIfAbsent(id, nowNanos)));
		return moves;
	}

	private Optional<StreamMove> decide(Silence silence, Map<String, Integer> silentCounts, Set<String> avoidedIds,
			RestartEstimator restarts) {
		Optional<String> culpritId = culprit(silence, silentCounts);
		boolean shared = silence.candidateIds().stream().anyMatch((id) -> silentCounts.getOrDefault(id, 0) > 1);
		MoveCause cause = shared ? MoveCause.SHARED_SILENCE : MoveCause.LONE_SILENCE;
		double threshold = shared ? silence.noticeableNanos() : silence.significantNanos();
		if (!silence.stream().begun()) {
			culpritId = silence.candidateIds().stream().filter(this.blamedNanos::containsKey).findFirst();
			cause = MoveCause.SILENT_ENGINE;
			threshold = culpritId.isPresent() ? silence.noticeableNanos() : Double.POSITIVE_INFINITY;
		}
		if (silence.nanos() < threshold || silence.remainingNanos() < MIN_RESTART.toNanos()
				|| this.estimatesLeft == 0) {
			return Optional.empty();
		}
		this.estimatesLeft--;
		Optional<RestartEstimate> restart = restarts.estimate(silence.stream(), avoidedIds);
		if (restart.isEmpty() || !isTime(silence, cause, restart.get()) || isHasty(silence, cause, restart.get())) {
			return Optional.empty();
		}
		return Optional.of(new StreamMove(silence.stream(), cause, culpritId, silence.candidateIds(), silence.nanos(),
				threshold, restart.get()));
	}

	// Returns the time that is kept for streams that are lost together.
	private static double jointRestartNanos(RestartEstimate restart) {
		return JOINT_RESTART_FACTOR * restart.meanNanos() + restart.deviationNanos();
	}

	// Returns whether a shared silence would be moved as soon as it is noticeable. Such
	// silences are common in an overload, when restarts take long.
	private boolean isHasty(Silence silence, MoveCause cause, RestartEstimate restart) {
		return cause == MoveCause.SHARED_SILENCE && silence.nanos() < silence.significantNanos()
				&& silence.noticeableNanos() + this.checkPeriodNanos
						+ jointRestartNanos(restart) >= silence.stream().silenceLimit().toNanos();
	}

	// Returns whether a move is due at this check, since it would be too late at the next
	// one. A stream that is late in any case is left to the usual timeouts. Nothing is
	// gained by waiting for an engine that others have found silent.
	private boolean isTime(Silence silence, MoveCause cause, RestartEstimate restart) {
		double limitNanos = silence.stream().silenceLimit().toNanos();
		if (silence.nanos() + FAST_RESTART_SHARE * restart.meanNanos() > limitNanos) {
			return false;
		}
		double reserveNanos = switch (cause) {
			case LONE_SILENCE -> restart.meanNanos() + restart.deviationNanos();
			case SHARED_SILENCE -> jointRestartNanos(restart);
			case SILENT_ENGINE -> Double.POSITIVE_INFINITY;
		};
		return silence.nanos() + this.checkPeriodNanos + reserveNanos >= limitNanos;
	}

	// Returns the engine at fault: the only one of the path that was not seen since, or
	// the
	// one that clearly more silent streams share than any other. When several engines are
	// lost at once, streams on different ones often share a sound engine by chance.
	private static Optional<String> culprit(Silence silence, Map<String, Integer> silentCounts) {
		if (silence.candidateIds().size() == 1) {
			return silence.candidateIds().stream().findFirst();
		}
		int most = silence.candidateIds().stream().mapToInt((id) -> silentCounts.getOrDefault(id, 0)).max().orElse(0);
		List<String> shared = silence.candidateIds()
			.stream()
			.filter((id) -> silentCounts.getOrDefault(id, 0) > most - BLAME_MARGIN)
			.toList();
		return (shared.size() == 1) ? Optional.of(shared.get(0)) : Optional.empty();
	}

	// Counts for each engine the silent streams for which it is a candidate, with those
	// that have just left it.
	private Map<String, Integer> countSilent(List<Silence> silences) {
		Map<String, Integer> counts = new HashMap<>();
		silences.stream()
			.filter((silence) -> silence.stream().begun())
			.forEach((silence) -> silence.candidateIds().forEach((id) -> counts.merge(id, 1, Integer::sum)));
		this.leftPaths.forEach((left) -> left.candidateIds()
			.stream()
			.filter((id) -> !isAliveSince(id, left.leftNanos()))
			.forEach((id) -> counts.merge(id, 1, Integer::sum)));
		return counts;
	}

	/**
	 * Records that a stream was moved.
	 * @param move the move, not null
	 * @param nowNanos the time on the router's monotonic clock
	 */
	public void recordMoved(StreamMove move, long nowNanos) {
		this.moveTimes.add(nowNanos);
		this.leftPaths.add(new LeftPath(move.candidateIds(), nowNanos));
	}

	/**
	 * Returns whether an engine is held to be silent.
	 * @param id the id of the engine, not null
	 * @return true if streams have left it and no event has passed it since
	 */
	public boolean isBlamed(String id) {
		return this.blamedNanos.containsKey(id);
	}

	/**
	 * Returns whether an event has passed an engine since a time.
	 * @param id the id of the engine, not null
	 * @param nanos the time on the router's monotonic clock
	 * @return true if one has
	 */
	public boolean isAliveSince(String id, long nanos) {
		Long alive = this.lastAliveNanos.get(id);
		return alive != null && alive - nanos > 0;
	}

	/**
	 * Returns the number of moves since the last call after which events passed all
	 * engines that might have been at fault, within the time of suspicion.
	 * @return the number of needless moves
	 */
	public long takeNeedlessMoves() {
		long count = this.needlessMoves;
		this.needlessMoves = 0;
		return count;
	}

	private void noticeOwnPause(long nowNanos) {
		if (this.lastCheckNanos.isPresent()
				&& nowNanos - this.lastCheckNanos.get() > MAX_MISSED_CHECKS * this.checkPeriodNanos) {
			this.observedFromNanos = Optional.of(nowNanos);
		}
		this.lastCheckNanos = Optional.of(nowNanos);
	}

	private void recordAlive(ObservedStream stream) {
		stream.engineIds()
			.forEach((id) -> this.lastAliveNanos.merge(id, stream.lastActivityNanos(),
					(left, right) -> (right - left > 0) ? right : left));
	}

	private void forgetOld(long nowNanos) {
		this.lastAliveNanos.values().removeIf((nanos) -> nowNanos - nanos > 2 * SUSPICION_TIME.toNanos());
		this.blamedNanos.entrySet()
			.removeIf((entry) -> isAliveSince(entry.getKey(), entry.getValue())
					|| nowNanos - entry.getValue() > SUSPICION_TIME.toNanos());
		int count = this.leftPaths.size();
		this.leftPaths
			.removeIf((left) -> left.candidateIds().stream().allMatch((id) -> isAliveSince(id, left.leftNanos())));
		this.needlessMoves += count - this.leftPaths.size();
		this.leftPaths.removeIf((left) -> nowNanos - left.leftNanos() > SUSPICION_TIME.toNanos());
		while (!this.moveTimes.isEmpty() && nowNanos - this.moveTimes.peek() > LIMIT_PERIOD.toNanos()) {
			this.moveTimes.remove();
		}
	}

	// Returns the pace of the stream with the longest pause, by which streams are judged
	// that have had few events.
	private static Optional<StreamPace> slowestPace(List<ObservedStream> streams) {
		return streams.stream()
			.filter(ObservedStream::begun)
			.map(ObservedStream::pace)
			.filter(StreamPace::isKnown)
			.reduce((left, right) -> (right.longestNanos() > left.longestNanos()) ? right : left);
	}

	// Returns the silence of a stream, or empty if it is not noticeable.
	private Optional<Silence> silence(ObservedStream stream, Optional<StreamPace> usualPace, long nowNanos) {
		Optional<StreamPace> pace = stream.pace().isKnown() ? Optional.of(stream.pace())
				: stream.begun() ? usualPace : Optional.empty();
		long sinceNanos = this.observedFromNanos.filter((observedFrom) -> observedFrom - stream.lastActivityNanos() > 0)
			.orElse(stream.lastActivityNanos());
		if (pace.isEmpty() || nowNanos - sinceNanos < pace.get().noticeableNanos()) {
			return Optional.empty();
		}
		long noticeableNanos = sinceNanos + (long) (stream.begun() ? pace.get().noticeableNanos() : 0);
		Set<String> candidateIds = stream.engineIds()
			.stream()
			.filter((id) -> !isAliveSince(id, noticeableNanos))
			.collect(Collectors.toSet());
		// The pace of another stream is no measure for a silence of this one alone.
		double significantNanos = stream.pace().isKnown() ? pace.get().significantNanos() : Double.POSITIVE_INFINITY;
		long usualNanos = sinceNanos + (long) pace.get().meanNanos();
		return Optional.of(new Silence(stream, nowNanos - sinceNanos, usualNanos, pace.get().noticeableNanos(),
				significantNanos, candidateIds));
	}

	/** A noticeable silence and the engines that may be the cause. */
	private record Silence(ObservedStream stream, long nanos, long dueNanos, double noticeableNanos,
			double significantNanos, Set<String> candidateIds) {

		// Returns the time until the stream is late.
		private long remainingNanos() {
			return this.stream.silenceLimit().toNanos() - this.nanos;
		}

	}

	/** The engines that may have been at fault when a stream left its path. */
	private record LeftPath(Set<String> candidateIds, long leftNanos) {

	}

}
