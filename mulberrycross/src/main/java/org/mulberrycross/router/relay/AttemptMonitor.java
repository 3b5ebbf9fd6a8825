package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.mulberrycross.Address;
import org.mulberrycross.ControlThread;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EnginePath;
import org.mulberrycross.engine.PathStage;

/**
 * Watches the attempts in flight: ends those that are silent for too long, and asks the
 * engines of paths without progress for their reports. Confined to the control thread;
 * not thread-safe.
 */
final class AttemptMonitor {

	/**
	 * Minimum time between stall probes of an engine; its reports lag by several hundred
	 * ms.
	 */
	private static final Duration MIN_STALL_PROBE_INTERVAL = Duration.ofMillis(400);

	/** Minimum time between speed probes of an engine. */
	private static final Duration MIN_SPEED_PROBE_INTERVAL = Duration.ofMillis(1500);

	/**
	 * Minimum time between two paths whose engines are asked for their speed, so that an
	 * overload does not turn into a wave of probes.
	 */
	private static final Duration MIN_SLOW_PATH_INTERVAL = Duration.ofMillis(300);

	private final ControlThread controlThread;

	private final UpstreamDirectory directory;

	private final UpstreamHealth health;

	private final EngineSlowdowns slowdowns;

	private final EngineProber prober;

	private final InFlightRequests inFlight;

	private final Predicate<RelayExchange> mayRetry;

	private final Alternatives alternatives;

	private final FailureHandler failureHandler;

	private final EarlyMoves earlyMoves;

	private final FirstEventTimes firstEventTimes = new FirstEventTimes();

	private Optional<Long> lastSlowPathNanos = Optional.empty();

	AttemptMonitor(ControlThread controlThread, UpstreamDirectory directory, UpstreamHealth health,
			EngineSlowdowns slowdowns, EngineProber prober, InFlightRequests inFlight,
			Predicate<RelayExchange> mayRetry, Alternatives alternatives, FailureHandler failureHandler,
			EarlyMoves earlyMoves) {
		this.controlThread = controlThread;
		this.directory = directory;
		this.health = health;
		this.slowdowns = slowdowns;
		this.prober = prober;
		this.inFlight = inFlight;
		this.mayRetry = mayRetry;
		this.alternatives = alternatives;
		this.failureHandler = failureHandler;
		this.earlyMoves = earlyMoves;
	}

	void recordFirstData(RelayAttempt attempt, long nowNanos) {
		this.earlyMoves.recordFirstData(attempt, nowNanos);
		if (attempt.forwarding().path().isPresent()) {
			this.firstEventTimes.record(Duration.ofNanos(nowNanos - attempt.startedNanos()));
		}
	}

	// Checks the timeouts of all requests and refreshes the reports of slow engines.
	void check(long nowNanos) {
		this.earlyMoves.check(nowNanos)
			.forEach(
					(engine) -> this.prober.probe(engine, MIN_STALL_PROBE_INTERVAL, nowNanos, this::handleStallReport));
		for (RelayExchange exchange : this.inFlight.snapshot()) {
			if (exchange.rule() != null) {
				checkTimeouts(exchange, nowNanos);
			}
		}
		this.slowdowns.dueForRefresh(nowNanos)
			.forEach((id) -> this.directory.find(id)
				.flatMap(DirectoryEntry::engine)
				.ifPresent(
						(engine) -> this.prober.probe(engine, MIN_STALL_PROBE_INTERVAL, nowNanos, this::recordSpeed)));
	}

	private void checkTimeouts(RelayExchange exchange, long nowNanos) {
		if (exchange.remainingTime(nowNanos).isNegative()) {
			this.inFlight.timeOut(exchange);
			return;
		}
		RelayAttempt attempt = exchange.currentAttempt();
		if (attempt == null) {
			return;
		}
		if (AttemptTimeouts.isConnectOverdue(attempt, nowNanos)) {
			attempt.cancel();
			this.failureHandler.fail(attempt, Set.of(attempt.forwarding().upstream().id()),
					"no connection within " + AttemptTimeouts.CONNECT_TIMEOUT.toMillis() + " ms", attempt.wasSent());
		}
		if (!attempt.wasSent()) {
			return;
		}
		attempt.forwarding().path().ifPresent((path) -> probePath(exchange, attempt, path, nowNanos));
		// On a path, any engine may be the cause; stall reports identify it.
		Set<String> faultyIds = attempt.forwarding().path().isPresent() ? Set.of()
				: Set.of(attempt.forwarding().upstream().id());
		if (AttemptTimeouts.isResponseOverdue(exchange, attempt, nowNanos)
				&& maySendElsewhere(attempt, faultyIds, nowNanos)) {
			this.failureHandler.fail(attempt, faultyIds, "silent for too long", true);
		}
	}

	// An upstream that is silent for a second may go on, so that a request without
	// another
	// upstream waits for it.
	private boolean maySendElsewhere(RelayAttempt attempt, Set<String> avoidedIds, long nowNanos) {
		return this.mayRetry.test(attempt.exchange()) && this.alternatives.exist(attempt, avoidedIds, nowNanos);
	}

	private void probePath(RelayExchange exchange, RelayAttempt attempt, EnginePath path, long nowNanos) {
		if (AttemptTimeouts.shouldProbe(attempt, nowNanos)) {
			this.prober.probe(path.firstEngine(), MIN_STALL_PROBE_INTERVAL, nowNanos, this::handleStallReport);
		}
		if (isSlow(exchange, attempt, nowNanos) && mayProbeSlowPath(nowNanos)) {
			this.lastSlowPathNanos = Optional.of(nowNanos);
			path.stages()
				.stream()
				.map(PathStage::engine)
				.forEach((engine) -> this.prober.probe(engine, MIN_SPEED_PROBE_INTERVAL, nowNanos, this::recordSpeed));
		}
	}

	private boolean isSlow(RelayExchange exchange, RelayAttempt attempt, long nowNanos) {
		return AttemptTimeouts.isFirstEventSlow(exchange, attempt, nowNanos)
				&& this.firstEventTimes.isUnusual(Duration.ofNanos(nowNanos - attempt.startedNanos()));
	}

	private boolean mayProbeSlowPath(long nowNanos) {
		return this.lastSlowPathNanos.map((previous) -> nowNanos - previous >= MIN_SLOW_PATH_INTERVAL.toNanos())
			.orElse(true);
	}

	private void recordSpeed(EngineInstance engine, Optional<EngineReport> report) {
		report.ifPresent((present) -> this.controlThread
			.post(() -> this.slowdowns.record(engine.id(), present.slowdown(), System.nanoTime())));
	}

	// A first engine that does not reply is itself stalled.
	private void handleStallReport(EngineInstance firstEngine, Optional<EngineReport> report) {
		recordSpeed(firstEngine, report);
		Set<Address> stalled = report.map(EngineReport::stalledEngines)
			.orElse(Set.of(firstEngine.upstream().address()));
		String service = firstEngine.upstream().service();
		this.controlThread.post(() -> stalled.forEach((address) -> ejectStalledEngine(service, address)));
	}

	// Ejects a stalled engine and retries the requests whose paths contain it.
	private void ejectStalledEngine(String service, Address address) {
		Optional<String> id = this.directory.findByAddress(service, address).map((entry) -> entry.instance().id());
		if (id.isEmpty()) {
			return;
		}
		long nowNanos = System.nanoTime();
		this.health.recordStall(id.get(), nowNanos);
		for (RelayExchange exchange : this.inFlight.snapshot()) {
			RelayAttempt attempt = exchange.currentAttempt();
			if (attempt != null && !exchange.isFinished() && attempt.upstreamIds().contains(id.get())
					&& maySendElsewhere(attempt, Set.of(id.get()), nowNanos)) {
				this.failureHandler.fail(attempt, Set.of(id.get()), "engine " + id.get() + " is stalled",
						attempt.wasSent());
			}
		}
	}

	/** Tells whether the request of an attempt could be sent to other upstreams. */
	@FunctionalInterface
	interface Alternatives {

		// Returns whether it could without those to avoid.
		boolean exist(RelayAttempt attempt, Set<String> avoidedIds, long nowNanos);

	}

	/** Handles an attempt that ended without a complete response. */
	@FunctionalInterface
	interface FailureHandler {

		// Ends the attempt. The set of faulty upstreams is empty if the cause is unknown.
		void fail(RelayAttempt attempt, Set<String> faultyIds, String reason, boolean mayHaveExecuted);

	}

}
