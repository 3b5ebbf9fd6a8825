package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.ControlThread;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.engine.CrashEvent;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EngineProfile;
import org.mulberrycross.engine.EngineWork;
import org.mulberrycross.http.RelayClient;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.http.ResponseWriter;
import org.mulberrycross.sibling.Sibling;
import org.mulberrycross.sibling.http.RelayedRequests;

/**
 * Handles each request from arrival to completion: matches its route and team, selects an
 * upstream, and retries or fails it when an attempt fails. All state is confined to the
 * control thread; methods that other threads call post to it.
 */
final class RelayControl implements AttemptListener {

	private static final Logger logger = LoggerFactory.getLogger(RelayControl.class);

	/**
	 * Period of the checks of timeouts and waiting requests, which is a tenth of the
	 * shortest timeout (250 ms).
	 */
	static final Duration CHECK_PERIOD = Duration.ofMillis(25);

	/** Number of daemons assumed until they have been counted. */
	static final int DEFAULT_DAEMON_COUNT = 8;

	private final ControlThread controlThread;

	private final MonotonicClock clock;

	private final MessageFormat messageFormat;

	private final RelayMetrics metrics;

	private final UpstreamDirectory directory = new UpstreamDirectory();

	private final UpstreamHealth health = new UpstreamHealth();

	private final EngineSlowdowns slowdowns = new EngineSlowdowns();

	private final UpstreamLimits limits;

	private final EligibleUpstreams eligible;

	private final RequestAdmission admission;

	private final UpstreamSelector selector;

	private final RetryPolicy retryPolicy;

	private final RequestLog requestLog;

	private final UpstreamRejections rejections;

	private final InFlightRequests inFlight;

	private final EarlyMoves earlyMoves;

	private final AttemptMonitor attemptMonitor;

	private final CrashTracker crashTracker;

	private final StreamPaces streamPaces = new StreamPaces(this.slowdowns);

	private boolean expectedCost;

	private final WaitingRequests waiting;

	private final SiblingFallback fallback;

	private final RequestDispatcher dispatcher;

	private final SiblingAnswers siblingAnswers;

	private int daemonCount = DEFAULT_DAEMON_COUNT;

	private final FleetLoad fleetLoad = new FleetLoad(DEFAULT_DAEMON_COUNT);

	RelayControl(ControlThread controlThread, MonotonicClock clock, RandomGenerator random, RelaySettings settings,
			MessageFormat messageFormat, RelayClient client, EngineProber engineProber, CrashEventPublisher publisher,
			RelayMetrics metrics) {
		this.controlThread = Objects.requireNonNull(controlThread, "controlThread");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.messageFormat = Objects.requireNonNull(messageFormat, "messageFormat");
		Objects.requireNonNull(client, "client");
		Objects.requireNonNull(engineProber, "engineProber");
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.admission = new RequestAdmission(settings, clock);
		this.limits = new UpstreamLimits(DEFAULT_DAEMON_COUNT, metrics, random);
		this.eligible = new EligibleUpstreams(this.directory, this.health, this.limits);
		this.selector = new UpstreamSelector(this.directory, this.eligible, this.health, this.slowdowns,
				settings.dataCentre(), random, this.fleetLoad);
		this.expectedCost = settings.features().expectedCost();
		this.selector.useExpectedCost(this.expectedCost);
		this.selector.reload(settings.features().waiting());
		this.retryPolicy = new RetryPolicy(settings, DEFAULT_DAEMON_COUNT, this::isSuspected, clock);
		this.requestLog = new RequestLog(logger, clock);
		this.rejections = new UpstreamRejections(this.directory, this.selector, this.health, this.requestLog);
		this.inFlight = new InFlightRequests(this.selector, metrics, this.requestLog, clock, this::handleSentEnded);
		this.earlyMoves = new EarlyMoves(settings, this.inFlight, this.selector, this.health,
				(service) -> configuration().map((present) -> present.profilesByService().get(service)),
				this.retryPolicy::mayMove, this::handleFailedAttempt, metrics, this.requestLog);
		this.fallback = new SiblingFallback(clock, metrics, random, this.inFlight::countAt);
		this.waiting = new WaitingRequests(settings.features().waiting(),
				new WaitingRequests.Upstreams(this::room, this::sendOrReject), this.inFlight::fail, metrics, clock,
				random);
		this.attemptMonitor = new AttemptMonitor(controlThread, this.directory, this.health, this.slowdowns,
				engineProber, this.inFlight, this.retryPolicy::mayRetry, this.selector::hasAlternative,
				this::handleFailedAttempt, this.earlyMoves);
		this.crashTracker = new CrashTracker(clock,
				(engine, onResult) -> engineProber.probe(engine, Duration.ZERO, clock.nanos(),
						(probed, report) -> controlThread.post(() -> onResult.accept(report.isEmpty()))),
				publisher, metrics, this::recallSuspected);
		this.dispatcher = new RequestDispatcher(settings.name(), clock, messageFormat, client, this.selector,
				this.fallback, this.waiting, this.limits, this.crashTracker, this.requestLog, this);
		this.siblingAnswers = new SiblingAnswers(this.fallback, this.dispatcher, this.inFlight, this.requestLog,
				this::retryExecuted, clock);
	}

	// Returns whether the load balancer should open connections. Callable on any thread.
	boolean isReady() {
		return this.admission.isReady();
	}

	// Returns the number of requests in flight. May be called on any thread.
	int inFlightCount() {
		return this.inFlight.count();
	}

	UpstreamDirectory directory() {
		this.controlThread.assertOnControlThread();
		return this.directory;
	}

	Optional<ServingConfiguration> configuration() {
		this.controlThread.assertOnControlThread();
		return this.admission.configuration();
	}

	// Returns the work of this daemon's requests by upstream id.
	Map<String, EngineWork> ownWork() {
		this.controlThread.assertOnControlThread();
		return this.selector.ownWork();
	}

	// Returns the limits of upstreams, which are confined to the control thread.
	UpstreamLimits limits() {
		return this.limits;
	}

	FleetLoad fleetLoad() {
		this.controlThread.assertOnControlThread();
		return this.fleetLoad;
	}

	// Returns the profiles and the eligible engines by service, as input for placement.
	PlacementView placementView() {
		this.controlThread.assertOnControlThread();
		Map<String, EngineProfile> profiles = configuration().map(ServingConfiguration::profilesByService)
			.orElse(Map.of());
		Map<String, List<EngineInstance>> engines = profiles.keySet()
			.stream()
			.collect(Collectors.toMap(Function.identity(), this.directory::eligibleEngines));
		return new PlacementView(profiles, engines, this.slowdowns.current(this.clock.nanos()),
				this.directory.isStoreAvailable(), !this.fallback.isActive(this.clock.nanos()));
	}

	// Applies changed limits. Changed addresses take effect only after a restart.
	void reload(RelaySettings changed) {
		this.controlThread.post(() -> {
			this.admission.reload(changed);
			this.retryPolicy.reload(changed);
			this.earlyMoves.reload(changed);
			this.expectedCost = changed.features().expectedCost();
			this.selector.useExpectedCost(this.expectedCost);
			this.waiting.reload(changed.features().waiting());
			this.selector.reload(changed.features().waiting());
		});
	}

	// Reports this daemon as not ready, and rejects the requests that arrive from a time
	// on.
	void startDraining(long refuseFromNanos) {
		this.controlThread.post(() -> this.admission.startDraining(refuseFromNanos));
	}

	// Ends the requests in flight, with the truth about whether they ran.
	void failInFlight(String reason) {
		this.controlThread.post(() -> this.inFlight.failAll(reason));
	}

	// Updates the number of daemons, including this one.
	void updateDaemonCount(int count) {
		this.controlThread.assertOnControlThread();
		this.daemonCount = Math.max(1, count);
		this.admission.updateDaemonCount(count);
		this.retryPolicy.updateDaemonCount(Math.max(1, count));
		this.selector.updateDaemonCount(Math.max(1, count));
		this.limits.updateDaemonCount(count);
	}

	void markDirectoryListed() {
		this.controlThread.assertOnControlThread();
		this.admission.markDirectoryListed();
	}

	// Applies a configuration unless the current version is the same or newer.
	void apply(ServingConfiguration configuration) {
		this.controlThread.assertOnControlThread();
		if (this.admission.apply(configuration)) {
			this.selector.configure(configuration);
		}
	}

	// Records the time up to which the current configuration is known to be the latest.
	void confirmConfiguration(ClockReading asOf) {
		this.controlThread.assertOnControlThread();
		this.admission.confirmCurrent(asOf);
	}

	// Applies what this and other daemons have seen of requests that may crash engines.
	void applyCrashEvents(List<CrashEvent> events) {
		this.controlThread.assertOnControlThread();
		this.crashTracker.record(events, this.clock.nanos());
		this.admission.markCrashEventsListed();
	}

	// Ends the requests in flight that are likely to crash the engine they wait for.
	private void recallSuspected() {
		for (RelayExchange exchange : this.inFlight.snapshot()) {
			RelayAttempt attempt = exchange.currentAttempt();
			if (attempt != null && !exchange.isFinished()
					&& this.crashTracker.mustRecall(attempt, this.clock.nanos())) {
				attempt.cancel();
				this.inFlight.fail(exchange, "a part of the prompt has crashed engines",
						InFlightRequests.RETRY_AFTER_BUSY);
			}
		}
	}

	// Passes requests on to siblings while no upstream is reached.
	void useSiblings(Supplier<Collection<Sibling>> siblings, SiblingFallback.ReachQuery query) {
		this.fallback.connect(siblings, query);
	}

	// Returns whether this daemon takes requests that siblings pass on. Callable on any
	// thread.
	boolean servesSiblings() {
		return this.admission.isReady() && !this.fallback.isCutOff();
	}

	// Accepts a request. Called on a selector thread.
	void acceptRequest(RelayRequest request, ResponseWriter response) {
		accept(new RelayExchange(request, this.messageFormat.decodeRequest(request), response,
				ClockReading.now(this.clock)));
	}

	// Accepts a request that a sibling passes on. Called on a selector thread.
	void acceptRelayed(RelayRequest request, String daemon, ResponseWriter response) {
		if (!servesSiblings()) {
			LocalResponse.of(RelayedRequests.STATUS_MISDIRECTED, "this daemon does not serve siblings now")
				.sendTo(response);
			return;
		}
		this.controlThread.post(() -> this.fallback.recordRelayed(daemon, this.clock.nanos()));
		accept(new RelayExchange(request, this.messageFormat.decodeRequest(request), response,
				ClockReading.now(this.clock), true));
	}

	private void accept(RelayExchange exchange) {
		ResponseWriter response = exchange.response();
		response.onDisconnect(() -> handleClientDisconnect(exchange));
		if (!this.controlThread.offer(() -> startRequest(exchange))) {
			LocalResponse.notExecuted(InFlightRequests.RETRY_AFTER_BUSY, "too many requests wait for a decision")
				.sendTo(response);
			this.metrics.countRefused();
		}
	}

	private void startRequest(RelayExchange exchange) {
		if (this.inFlight.add(exchange)) {
			admitOrWait(exchange);
		}
	}

	private void admitOrWait(RelayExchange exchange) {
		if (this.admission.hold(exchange)) {
			return;
		}
		Optional<LocalResponse> rejection = this.admission.admit(exchange);
		if (rejection.isPresent()) {
			this.inFlight.reject(exchange, rejection.get());
			return;
		}
		this.retryPolicy.recordRequest(exchange);
		this.waiting.submit(exchange);
	}

	private void handleSentEnded(RelayExchange exchange, boolean isComplete) {
		this.waiting.recordEnd(exchange, isComplete);
	}

	// A sibling decides on the room for a request that is passed on to it.
	private Room room(RelayExchange exchange, long nowNanos) {
		return (!exchange.isRelayed() && this.fallback.isActive(nowNanos)) ? Room.FREE
				: this.selector.room(exchange, nowNanos);
	}

	// Sends an admitted request for the first time, or ends it. Returns false if no
	// upstream is eligible.
	private boolean sendOrReject(RelayExchange exchange) {
		long nowNanos = this.clock.nanos();
		Optional<LocalResponse> refusal = this.crashTracker.refuse(exchange, nowNanos);
		if (refusal.isPresent()) {
			this.inFlight.reject(exchange, refusal.get());
			return true;
		}
		if (this.dispatcher.dispatch(exchange)) {
			return true;
		}
		Optional<EligibleUpstreams.Unavailability> unavailability = this.eligible.unavailability(exchange, nowNanos);
		unavailability
			.ifPresent((found) -> this.inFlight.fail(exchange, found.reason(), retryAfter(exchange, found, nowNanos)));
		return unavailability.isPresent();
	}

	// Returns when a client may come back whose request no upstream takes now.
	private Duration retryAfter(RelayExchange exchange, EligibleUpstreams.Unavailability found, long nowNanos) {
		return found.isLimit() ? this.limits.bookReturn(found.remaining(), exchange.remainingTime(nowNanos), nowNanos)
				: found.remaining();
	}

	@Override
	public void onConnected(RelayAttempt attempt) {
		if (attempt.sibling().isEmpty() && this.fallback.isWatching()) {
			this.controlThread.post(() -> {
				if (this.fallback.recordAccepted()) {
					this.health.forgetFailures();
				}
			});
		}
	}

	@Override
	public void onNotice(RelayAttempt attempt, UpstreamResponseHead upstreamHead, long receivedNanos) {
		this.controlThread.post(() -> {
			String id = attempt.forwarding().upstream().id();
			if (upstreamHead.leaving()) {
				this.directory.markLeaving(attempt.forwarding().upstream());
			}
			upstreamHead.rest().ifPresent((rest) -> this.health.recordRest(id, rest, receivedNanos));
			this.limits.record(attempt.forwarding().upstream(), upstreamHead, receivedNanos);
		});
	}

	@Override
	public void onFirstData(RelayAttempt attempt) {
		this.controlThread.post(() -> {
			this.selector.recordPrefillDone(attempt);
			if (attempt.hasBegun() && attempt.sibling().isEmpty()) {
				this.crashTracker.recordBegun(attempt, this.clock.nanos());
			}
			this.attemptMonitor.recordFirstData(attempt, this.clock.nanos());
		});
	}

	@Override
	public void onCompleted(RelayAttempt attempt) {
		this.controlThread.post(() -> {
			RelayExchange exchange = attempt.exchange();
			if (!isCurrent(attempt)) {
				return;
			}
			if (attempt.sibling().isPresent()) {
				this.inFlight.complete(exchange);
				return;
			}
			attempt.upstreamIds().forEach(this.health::recordSuccess);
			this.crashTracker.recordBegun(attempt, this.clock.nanos());
			this.metrics.recordCalibration(attempt, this.selector.recordCompleted(attempt, this.clock.nanos()),
					this.clock.nanos());
			this.inFlight.complete(exchange);
		});
	}

	@Override
	public void onErrorResponse(RelayAttempt attempt, ResponseHead head, UpstreamResponseHead upstreamHead,
			byte[] body) {
		this.controlThread.post(() -> {
			if (!isCurrent(attempt)) {
				return;
			}
			RelayExchange exchange = attempt.exchange();
			if (attempt.sibling().isPresent() && !upstreamHead.signed()) {
				this.siblingAnswers.handleRejection(attempt, head);
				return;
			}
			String reason = "status " + head.status() + (upstreamHead.notExecuted() ? ", not run" : "");
			this.selector.releaseLoad(attempt);
			if (upstreamHead.notExecuted()) {
				exchange.addExecutions(-1);
				this.rejections.record(attempt, upstreamHead, reason, this.clock.nanos());
				retryOrElse(exchange, reason,
						() -> this.inFlight.fail(exchange, reason, retryAfterRejection(exchange)));
				return;
			}
			if (head.status() >= 500 && attempt.sibling().isEmpty()) {
				exchange.failedUpstreams().add(attempt.forwarding().upstream().id());
				exchange.suspectedUpstreams().addAll(attempt.upstreamIds());
			}
			Runnable forwardError = () -> this.inFlight.forwardError(attempt, head, upstreamHead, body);
			if (head.status() >= 500 && RetryPolicy.mayExecuteAgain(exchange)) {
				retryOrElse(exchange, reason, forwardError);
				return;
			}
			forwardError.run();
		});
	}

	// Returns when a client may come back after its request was rejected by an upstream.
	private Duration retryAfterRejection(RelayExchange exchange) {
		long nowNanos = this.clock.nanos();
		return this.eligible.unavailability(exchange, nowNanos)
			.map((found) -> retryAfter(exchange, found, nowNanos))
			.orElseGet(() -> this.waiting.retryAfterRejection(exchange));
	}

	@Override
	public void onAttemptFailed(RelayAttempt attempt, String reason) {
		this.controlThread.post(() -> {
			if (isCurrent(attempt)) {
				handleFailedAttempt(attempt, Set.of(attempt.forwarding().upstream().id()), reason, attempt.wasSent());
			}
		});
	}

	private boolean isCurrent(RelayAttempt attempt) {
		return !attempt.exchange().isFinished() && attempt.exchange().currentAttempt() == attempt;
	}

	// Handles an attempt that ended without a complete response. The set of faulty
	// upstreams is empty if the cause is unknown.
	private void handleFailedAttempt(RelayAttempt attempt, Set<String> faultyIds, String reason,
			boolean mayHaveExecuted) {
		RelayExchange exchange = attempt.exchange();
		this.requestLog.logAttemptFailed(attempt, reason);
		if (attempt.sibling().isPresent()) {
			this.siblingAnswers.handleFailure(attempt, reason, mayHaveExecuted);
			return;
		}
		this.earlyMoves.recordLoss(attempt);
		attempt.cancel();
		this.selector.releaseLoad(attempt);
		exchange.failedUpstreams().addAll(faultyIds);
		exchange.suspectedUpstreams().addAll(attempt.upstreamIds());
		faultyIds.forEach((id) -> this.health.recordFailure(id, reason, this.clock.nanos()));
		if (!attempt.wasSent()) {
			this.fallback.recordUnreachable(attempt.forwarding().upstream().id(), this.clock.nanos());
		}
		if (!mayHaveExecuted) {
			exchange.addExecutions(-1);
			if (this.siblingAnswers.sendAgain(exchange, reason)) {
				return;
			}
			retryOrElse(exchange, reason,
					() -> this.inFlight.fail(exchange, reason, InFlightRequests.RETRY_AFTER_BUSY));
			return;
		}
		boolean deferred = this.crashTracker.recordFailure(attempt, faultyIds, () -> {
			if (isCurrent(attempt)) {
				retryExecuted(exchange, reason);
			}
		});
		if (!deferred) {
			retryExecuted(exchange, reason);
		}
	}

	// Retries a request that an upstream may have executed, or fails it.
	private void retryExecuted(RelayExchange exchange, String reason) {
		Runnable fail = () -> this.inFlight.fail(exchange, reason, InFlightRequests.RETRY_AFTER_BUSY);
		if (RetryPolicy.mayExecuteAgain(exchange)) {
			retryOrElse(exchange, reason, fail);
			return;
		}
		fail.run();
	}

	private void retryOrElse(RelayExchange exchange, String reason, Runnable fallback) {
		Optional<String> denial = this.retryPolicy.acquire(exchange);
		if (denial.isPresent()) {
			this.requestLog.logRetryDenied(exchange, reason, denial.get());
			fallback.run();
			return;
		}
		this.metrics.countRetry();
		this.requestLog.logRetry(exchange, reason);
		if (!this.dispatcher.dispatch(exchange)) {
			fallback.run();
		}
	}

	private boolean isSuspected(RelayExchange exchange) {
		return this.crashTracker.isSuspected(exchange, this.clock.nanos());
	}

	private void handleClientDisconnect(RelayExchange exchange) {
		RelayAttempt attempt = exchange.currentAttempt();
		if (attempt != null) {
			attempt.cancel();
		}
		this.controlThread.post(() -> {
			// A retry may have started another attempt in the meantime.
			RelayAttempt latest = exchange.currentAttempt();
			if (latest != null) {
				latest.cancel();
			}
			this.inFlight.finish(exchange, "client left");
		});
	}

	/**
	 * Starts waiting requests, checks the timeouts of all requests and removes expired
	 * upstreams. Runs on the control thread.
	 */
	void runPeriodicChecks() {
		long nowNanos = this.clock.nanos();
		this.directory.removeExpired(nowNanos);
		this.fallback.check(nowNanos);
		// The requests of daemons that pass them on are part of the own work.
		this.fleetLoad.updateDaemonCount(Math.max(1, this.daemonCount - this.fallback.relayingDaemons(nowNanos)));
		this.limits.check((id) -> this.directory.find(id).isPresent(), nowNanos);
		this.admission.updateReadiness();
		this.admission.takeHeld().forEach(this::admitOrWait);
		try {
			this.waiting.check();
		}
		finally {
			this.attemptMonitor.check(nowNanos);
		}
		if (this.expectedCost
				&& this.streamPaces.sample(this.inFlight.snapshot(), this.selector.profiles(), nowNanos)) {
			this.selector.reviseLoad(this.inFlight.snapshot());
		}
	}

}
