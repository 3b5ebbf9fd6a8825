package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.engine.CrashAttribution;
import org.mulberrycross.engine.CrashCandidate;
import org.mulberrycross.engine.CrashEvent;
import org.mulberrycross.engine.CrashSuspicion;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EnginePath;
import org.mulberrycross.engine.PathStage;

/**
 * Collects the requests that engines had not begun to answer when they were lost, and
 * refuses requests that are likely to crash further engines. Confined to the control
 * thread; not thread-safe.
 */
final class CrashTracker {

	/**
	 * Retry-After value for a request whose trial is due, but takes place with another
	 * request.
	 */
	private static final Duration RETRY_AFTER_TRIAL = Duration.ofSeconds(1);

	/**
	 * Maximum number of requests in an event, which with as many parts as a request may
	 * have stays far below the limit of the store for an object.
	 */
	private static final int MAX_CANDIDATES_PER_EVENT = 50;

	private final CrashAttribution attribution = new CrashAttribution();

	private final MonotonicClock clock;

	private final EngineLossCheck lossCheck;

	private final CrashEventPublisher publisher;

	private final RelayMetrics metrics;

	/** Called when further requests may be suspected. */
	private final Runnable onSuspicion;

	/** The attempts that wait for the result of a check, by the id of their engine. */
	private final Map<String, List<Failure>> pendingChecks = new HashMap<>();

	/** Parts for which this daemon has asked for a trial. */
	private final Set<String> claims = new HashSet<>();

	/** The trials that this daemon may carry out, by part. */
	private final Map<String, TrialPermit> trialPermits = new HashMap<>();

	CrashTracker(MonotonicClock clock, EngineLossCheck lossCheck, CrashEventPublisher publisher, RelayMetrics metrics,
			Runnable onSuspicion) {
		this.clock = clock;
		this.lossCheck = lossCheck;
		this.publisher = publisher;
		this.metrics = metrics;
		this.onSuspicion = onSuspicion;
	}

	// Records events that this or another daemon has published.
	void record(List<CrashEvent> events, long nowNanos) {
		events.forEach((event) -> this.attribution.record(event, nowNanos));
		if (events.stream().anyMatch(CrashEvent.EngineLost.class::isInstance)) {
			this.onSuspicion.run();
		}
	}

	// Returns whether an attempt that has not begun is likely to crash its engine. The
	// request of a trial is not recalled.
	boolean mustRecall(RelayAttempt attempt, long nowNanos) {
		return !attempt.exchange().isCrashTrial() && mayCrashEngine(attempt)
				&& isSuspected(attempt.exchange(), nowNanos);
	}

	// Returns whether a request is likely to crash an engine.
	boolean isSuspected(RelayExchange exchange, long nowNanos) {
		return this.attribution.suspicion(parts(exchange), nowNanos).isPresent();
	}

	// Returns the response to a request that is likely to crash an engine, or empty if it
	// may be sent.
	Optional<LocalResponse> refuse(RelayExchange exchange, long nowNanos) {
		Optional<CrashSuspicion> suspicion = this.attribution.suspicion(parts(exchange), nowNanos);
		if (suspicion.isEmpty()) {
			return Optional.empty();
		}
		CrashSuspicion found = suspicion.get();
		if (takePermit(found, nowNanos)) {
			exchange.markCrashTrial();
			return Optional.empty();
		}
		if (found.isTrialDue()) {
			claimTrial(found);
		}
		this.metrics.countSuspected();
		Duration retryAfter = found.isTrialDue() ? RETRY_AFTER_TRIAL : found.untilTrial();
		return Optional.of(LocalResponse.notExecuted(retryAfter,
				describe(found.part()) + " crashed " + found.crashCount() + " engines one after the other"));
	}

	private static String describe(String part) {
		return CrashAttribution.isRequest(part) ? "this request" : "part " + part + " of the prompt";
	}

	// A permit ends when the next trial is due, or with the next loss.
	private boolean takePermit(CrashSuspicion suspicion, long nowNanos) {
		TrialPermit permit = this.trialPermits.remove(suspicion.part());
		return permit != null && permit.crashCount() == suspicion.crashCount() && nowNanos - permit.endNanos() < 0;
	}

	private void claimTrial(CrashSuspicion suspicion) {
		if (!this.claims.add(suspicion.part())) {
			return;
		}
		CrashEvent claim = new CrashEvent.TrialClaimed(suspicion.part(), suspicion.crashCount());
		this.publisher.publish(claim, (granted) -> {
			this.claims.remove(suspicion.part());
			if (granted) {
				long nowNanos = this.clock.nanos();
				this.attribution.record(claim, nowNanos);
				this.trialPermits.put(suspicion.part(), new TrialPermit(suspicion.crashCount(),
						nowNanos + CrashAttribution.holdAfter(suspicion.crashCount()).toNanos()));
			}
		});
	}

	// Returns how many engines were lost in a row with the parts of a request.
	Map<String, Integer> crashCounts(RelayExchange exchange) {
		return this.attribution.crashCounts(parts(exchange));
	}

	void recordBegun(RelayAttempt attempt, long nowNanos) {
		this.attribution.recordBegun(parts(attempt.exchange()), nowNanos)
			.forEach((part) -> this.publisher.publish(new CrashEvent.PartBegun(part), (published) -> {
			}));
	}

	// Checks whether an engine was lost with a request that it had not begun. If the
	// request was lost with an engine before, returns true, and it must not be retried
	// until the action is called.
	boolean recordFailure(RelayAttempt attempt, Set<String> faultyIds, Runnable afterCheck) {
		if (!attempt.wasSent() || !mayCrashEngine(attempt)) {
			return false;
		}
		boolean repeated = attempt.exchange().engineLosses() > 0;
		Runnable action = repeated ? afterCheck : () -> {
		};
		List<EngineInstance> engines = attempt.forwarding()
			.path()
			.map(EnginePath::stages)
			.orElse(List.of())
			.stream()
			.map(PathStage::engine)
			.filter((engine) -> faultyIds.contains(engine.id()))
			.toList();
		if (engines.isEmpty()) {
			return false;
		}
		check(engines.get(0), new Failure(attempt, action));
		return repeated;
	}

	// Returns whether an engine has yet to begin the answer of an attempt. A resumed
	// stream has begun before.
	private static boolean mayCrashEngine(RelayAttempt attempt) {
		RelayExchange exchange = attempt.exchange();
		return !attempt.hasBegun() && !exchange.isResponseStarted() && exchange.call().lastEventId().isEmpty();
	}

	// Attempts that fail while the engine is checked share the result.
	private void check(EngineInstance engine, Failure failure) {
		List<Failure> pending = this.pendingChecks.get(engine.id());
		if (pending != null) {
			pending.add(failure);
			return;
		}
		this.pendingChecks.put(engine.id(), new ArrayList<>(List.of(failure)));
		this.lossCheck.check(engine, (lost) -> {
			List<Failure> failures = this.pendingChecks.remove(engine.id());
			if (lost) {
				recordLoss(engine.id() + "@" + engine.upstream().startedMillis(), failures);
			}
			failures.forEach((checked) -> checked.afterCheck().run());
		});
	}

	private void recordLoss(String engineId, List<Failure> failures) {
		List<CrashCandidate> candidates = failures.stream()
			.map((failure) -> candidate(failure.attempt()))
			.distinct()
			.toList();
		failures.forEach((failure) -> failure.attempt().exchange().recordEngineLoss(this.clock.nanos()));
		List<CrashEvent> events = new ArrayList<>();
		for (int i = 0; i < candidates.size(); i += MAX_CANDIDATES_PER_EVENT) {
			events.add(new CrashEvent.EngineLost(engineId,
					candidates.subList(i, Math.min(candidates.size(), i + MAX_CANDIDATES_PER_EVENT))));
		}
		record(events, this.clock.nanos());
		events.forEach((event) -> this.publisher.publish(event, (published) -> {
		}));
	}

	// Returns what may be suspected of a request: the parts of its prompt that others
	// share and, unless nothing is suspected, the fingerprint of the whole.
	private List<String> parts(RelayExchange exchange) {
		return this.attribution.hasSuspects() ? allParts(exchange) : exchange.call().sharedPromptParts();
	}

	private static List<String> allParts(RelayExchange exchange) {
		List<String> parts = new ArrayList<>(exchange.call().sharedPromptParts());
		parts.add(exchange.fingerprint());
		return parts;
	}

	// Numbers the loss by those known when the attempt was sent, so that engines lost at
	// the same time count once. A retry was sent after the losses of its own request.
	private CrashCandidate candidate(RelayAttempt attempt) {
		RelayExchange exchange = attempt.exchange();
		Map<String, Integer> numbers = new HashMap<>();
		allParts(exchange).forEach((part) -> {
			boolean clearedSince = exchange.engineLosses() > 0
					&& this.attribution.hasBegunSince(part, exchange.firstEngineLossNanos());
			int ownLosses = clearedSince ? 0 : exchange.engineLosses();
			numbers.put(part, Math.max(attempt.crashCounts().getOrDefault(part, 0), ownLosses) + 1);
		});
		return new CrashCandidate(numbers);
	}

	/** Right to send one request with a suspected part. */
	private record TrialPermit(int crashCount, long endNanos) {

	}

	/** A failed attempt and the action that waits for the check of its engine. */
	private record Failure(RelayAttempt attempt, Runnable afterCheck) {

	}

}
