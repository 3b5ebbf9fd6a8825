package org.mulberrycross.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.ControlThread;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.caller.Admission;
import org.mulberrycross.caller.AdmissionAction;
import org.mulberrycross.caller.CallerAnswer;
import org.mulberrycross.caller.CallerRequest;
import org.mulberrycross.caller.CompletionService;
import org.mulberrycross.caller.MeasuredAnswer;
import org.mulberrycross.caller.WorkClass;
import org.mulberrycross.engine.EngineHealth;
import org.mulberrycross.engine.EngineState;
import org.mulberrycross.engine.EngineTable;
import org.mulberrycross.engine.EngineView;
import org.mulberrycross.engine.HealthAction;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.LeavingUpstreams;
import org.mulberrycross.engine.RecoveryEvent;
import org.mulberrycross.engine.Route;
import org.mulberrycross.engine.RoutePolicy;
import org.mulberrycross.engine.RouteRequest;
import org.mulberrycross.engine.RouteRunner;
import org.mulberrycross.engine.Stage;
import org.mulberrycross.engine.StageProbe;
import org.mulberrycross.engine.StageReplacement;
import org.mulberrycross.engine.StepSample;
import org.mulberrycross.engine.StreamRequest;
import org.mulberrycross.operator.BurnCounters;
import org.mulberrycross.operator.BurnReport;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.ModelObject;
import org.mulberrycross.operator.Objective;
import org.mulberrycross.operator.PipelineObject;
import org.mulberrycross.operator.ServiceLevelEvent;

/**
 * Control state of a router daemon: its configuration, engines and admitted requests. All
 * changes happen on the control thread; streams run on traffic threads. Thread-safe.
 */
public final class RouterControl implements CompletionService {

	private static final Logger logger = LoggerFactory.getLogger(RouterControl.class);

	private static final Duration OVERLOAD_RETRY_AFTER = Duration.ofSeconds(1);

	/** Maximum time that a stream waits for the control thread to replace a stage. */
	private static final Duration REPLACEMENT_TIMEOUT = Duration.ofMillis(500);

	private static final Duration HEALTH_PROBE_TIMEOUT = Duration.ofMillis(300);

	private static final MeasuredAnswer.Targets LATENCY_TARGETS = new MeasuredAnswer.Targets(
			Objective.FIRST_TOKEN_TARGET_NANOS, Objective.BETWEEN_TOKENS_TARGET_NANOS);

	private final ControlThread controlThread;

	private final Executor trafficExecutor;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final RoutePolicy routePolicy;

	private final RouteRunner routeRunner;

	private final Admission admission;

	private final StageProbe stageProbe;

	private final EngineHealth engineHealth = new EngineHealth();

	private final LeavingUpstreams leavingUpstreams = new LeavingUpstreams();

	private final EngineTable engineTable = new EngineTable(this.leavingUpstreams);

	/** Answers of queued requests by request id. */
	private final Map<String, CallerAnswer> pendingAnswers = new HashMap<>();

	/** Routes reserved for requests that admission is about to grant, by request id. */
	private final Map<String, Route> reservedRoutes = new HashMap<>();

	private final BurnCounters burnCounters = new BurnCounters();

	private final AtomicReference<ControlSnapshot> snapshot;

	/**
	 * Creates the control state of a daemon that has no configuration yet.
	 * @param controlThread the thread that changes the state, not null
	 * @param trafficExecutor runs streams, not null; needs at least as many threads as
	 * the number of requests that admission lets run concurrently
	 * @param clock the daemon's clock, not null
	 * @param random the source of random numbers, used on the control thread only
	 * @param routePolicy chooses the engines of a route, not null
	 * @param routeRunner runs streams over routes, not null
	 * @param admission queues, grants and rejects requests, not null; used on the control
	 * thread only
	 * @param stageProbe probes ejected engines on traffic threads, not null
	 */
	public RouterControl(ControlThread controlThread, Executor trafficExecutor, MonotonicClock clock,
			RandomGenerator random, RoutePolicy routePolicy, RouteRunner routeRunner, Admission admission,
			StageProbe stageProbe) {
		this.controlThread = Objects.requireNonNull(controlThread, "controlThread");
		this.trafficExecutor = Objects.requireNonNull(trafficExecutor, "trafficExecutor");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.random = Objects.requireNonNull(random, "random");
		this.routePolicy = Objects.requireNonNull(routePolicy, "routePolicy");
		this.routeRunner = Objects.requireNonNull(routeRunner, "routeRunner");
		this.admission = Objects.requireNonNull(admission, "admission");
		this.stageProbe = Objects.requireNonNull(stageProbe, "stageProbe");
		this.snapshot = new AtomicReference<>(
				new ControlSnapshot(Configuration.empty(), new EngineView(clock.nanos(), List.of()), Set.of(), false));
	}

	/**
	 * Returns the latest snapshot that the control thread published.
	 * @return the snapshot, not null
	 */
	public ControlSnapshot snapshot() {
		return this.snapshot.get();
	}

	/**
	 * Applies a configuration on the control thread. A configuration whose generation is
	 * not above the current one is ignored.
	 * @param configuration the configuration, not null
	 */
	public void apply(Configuration configuration) {
		Objects.requireNonNull(configuration, "configuration");
		this.controlThread.post(() -> {
			if (configuration.generation() <= snapshot().configuration().generation()) {
				return;
			}
			this.engineTable.configure(configuration);
			publishSnapshot(configuration, snapshot().draining());
			logger.info("configuration generation {} in force, {} objects", configuration.generation(),
					configuration.objects().size());
		});
	}

	/**
	 * Marks the daemon as shutting down, so that its readiness check fails. Requests are
	 * still accepted.
	 */
	public void markDraining() {
		this.controlThread.post(() -> publishSnapshot(snapshot().configuration(), true));
	}

	@Override
	public void serve(CallerRequest request, CallerAnswer callerAnswer) {
		CallerAnswer answer = new MeasuredAnswer(callerAnswer, this.clock, request.arrivalNanos(), LATENCY_TARGETS,
				(measurement) -> this.controlThread.post(() -> recordServiceLevel(request, measurement)));
		boolean accepted = this.controlThread.offer(() -> {
			this.pendingAnswers.put(request.id(), answer);
			performAdmissionActions(this.admission.submit(request, this.clock.nanos()));
		});
		if (!accepted) {
			answer.fail(new NotRunException(Step.ADMIT, new Peer(Peer.Kind.CALLER, request.team()),
					"the daemon is overloaded", OVERLOAD_RETRY_AFTER));
		}
	}

	/**
	 * Returns the upstreams that receive no new requests. Must be called on the control
	 * thread, followed by {@link #publishLeavingUpstreams} if the upstreams are changed.
	 * @return the mutable set of leaving upstreams, not null
	 */
	LeavingUpstreams leavingUpstreams() {
		this.controlThread.assertOnControlThread();
		return this.leavingUpstreams;
	}

	/**
	 * Publishes a snapshot with the current {@link #leavingUpstreams}. Called on the
	 * control thread.
	 */
	void publishLeavingUpstreams() {
		this.engineTable.refreshLeaving();
		publishSnapshot(snapshot().configuration(), snapshot().draining());
	}

	/**
	 * Reports how fast this daemon's requests consume their error budgets.
	 * @return a future that the control thread completes with the report
	 */
	public CompletableFuture<BurnReport> burnReport() {
		CompletableFuture<BurnReport> report = new CompletableFuture<>();
		this.controlThread.post(() -> report.complete(this.burnCounters.report(this.clock.nanos())));
		return report;
	}

	private void recordServiceLevel(CallerRequest request, MeasuredAnswer.LatencyMeasurement measurement) {
		this.controlThread.assertOnControlThread();
		this.burnCounters.add(new ServiceLevelEvent(request.pipeline(), request.team(), measurement.tokens() > 0,
				measurement.firstTokenInTime(), measurement.tokensInTime(), measurement.tokensLate(),
				measurement.succeeded()), this.clock.nanos());
	}

	/**
	 * Refuses queued requests whose deadline has passed, grants requests for which there
	 * is capacity now, and starts probes of ejected engines that are due. Called
	 * periodically on the control thread.
	 */
	public void tick() {
		this.controlThread.assertOnControlThread();
		performAdmissionActions(this.admission.tick(this.clock.nanos()));
		performHealthActions(this.engineHealth.startDueProbes(this.clock.nanos()));
	}

	/**
	 * Records failed probes and unanswered steps as failures of their engine, and
	 * answered probes as successes. Other events are ignored.
	 * @param event the event of a stream's recovery, not null
	 */
	public void handleRecoveryEvent(RecoveryEvent event) {
		this.controlThread.post(() -> {
			EngineView view = this.engineTable.view(this.clock.nanos());
			if (event instanceof RecoveryEvent.ProbeFailed failed) {
				performHealthActions(this.engineHealth.recordFailure(failed.engine(), view));
			}
			else if (event instanceof RecoveryEvent.StepsUnanswered unanswered) {
				performHealthActions(this.engineHealth.recordFailure(unanswered.engine(), view));
			}
			else if (event instanceof RecoveryEvent.ProbeAnswered answered) {
				this.engineHealth.recordSuccess(answered.engine());
			}
		});
	}

	private void performHealthActions(List<HealthAction> actions) {
		for (HealthAction action : actions) {
			if (action instanceof HealthAction.Probe probe) {
				this.engineTable.view(this.clock.nanos())
					.engine(probe.engine())
					.ifPresentOrElse(this::probeEngine, () -> this.engineHealth.forget(probe.engine()));
				continue;
			}
			boolean eject = action instanceof HealthAction.Eject;
			logger.warn("engine {} {}", action.engine(), eject ? "is ejected" : "is readmitted");
			this.engineTable.setEjected(action.engine(), eject);
			publishSnapshot(snapshot().configuration(), snapshot().draining());
		}
	}

	private void probeEngine(EngineState engine) {
		Stage stage = new Stage(engine.name(), engine.address(), engine.layers());
		this.trafficExecutor.execute(() -> {
			boolean answered = probeSucceeds(stage);
			this.controlThread.post(() -> performHealthActions(
					this.engineHealth.recordProbeResult(stage.engine(), answered, this.clock.nanos())));
		});
	}

	private boolean probeSucceeds(Stage stage) {
		try {
			this.stageProbe.probe(stage, HEALTH_PROBE_TIMEOUT);
			return true;
		}
		catch (PeerException ex) {
			return false;
		}
	}

	/**
	 * Updates the load and step time estimates of engines. Called on the control thread.
	 * @param samples the step samples by engine name, not null
	 */
	public void recordStepSamples(Map<String, StepSample> samples) {
		this.controlThread.assertOnControlThread();
		this.engineTable.applySamples(samples);
		publishSnapshot(snapshot().configuration(), snapshot().draining());
	}

	/**
	 * Chooses a route for a request that is about to be granted and counts the request as
	 * outstanding on each of its engines. Called on the control thread.
	 * @param request the request, not null
	 * @param limitShare the fraction of each engine's stream limit that may be in use
	 * @return false if there is no route whose engines are below that fraction
	 */
	boolean reserveRoute(CallerRequest request, double limitShare) {
		this.controlThread.assertOnControlThread();
		Optional<Route> chosen = chooseRoute(request, limitShare);
		chosen.ifPresent((route) -> {
			this.engineTable.acquire(route.stages());
			this.reservedRoutes.put(request.id(), route);
		});
		return chosen.isPresent();
	}

	private void performAdmissionActions(List<AdmissionAction> actions) {
		for (AdmissionAction action : actions) {
			CallerAnswer answer = this.pendingAnswers.remove(action.request().id());
			if (action instanceof AdmissionAction.Reject rejection) {
				failAsync(answer,
						new NotRunException(Step.ADMIT, new Peer(Peer.Kind.CALLER, rejection.request().team()),
								rejection.reason(), rejection.retryAfter()));
			}
			else if (action instanceof AdmissionAction.Grant grant) {
				startStream(grant, this.reservedRoutes.remove(grant.request().id()), answer);
			}
		}
	}

	private void startStream(AdmissionAction.Grant grant, Route route, CallerAnswer answer) {
		List<Stage> stages = new ArrayList<>(route.stages());
		publishSnapshot(snapshot().configuration(), snapshot().draining());
		String id = grant.request().id();
		this.trafficExecutor.execute(() -> {
			AtomicInteger tokens = new AtomicInteger();
			boolean completed = runStream(grant, route,
					(lost, excluded) -> chooseReplacement(route, stages, lost, excluded), answer, tokens);
			this.controlThread.post(() -> {
				this.engineTable.release(stages);
				performAdmissionActions(this.admission.release(id, tokens.get(), completed, this.clock.nanos()));
			});
		});
	}

	private Optional<Route> chooseRoute(CallerRequest request, double limitShare) {
		Configuration configuration = snapshot().configuration();
		Optional<PipelineObject> pipeline = configuration.pipeline(request.pipeline());
		Optional<ModelObject> model = pipeline.flatMap((found) -> configuration.model(found.model()));
		if (model.isEmpty()) {
			return Optional.empty();
		}
		RouteRequest routeRequest = new RouteRequest(model.get().name(), pipeline.get().version(),
				pipeline.get().adapter(), new LayerRange(0, model.get().layers()), Set.of(), limitShare);
		return this.routePolicy.choose(routeRequest, this.engineTable.view(this.clock.nanos()), this.random)
			.map((stages) -> new Route(routeRequest.model(), routeRequest.version(), routeRequest.adapter(), stages));
	}

	private Optional<List<Stage>> chooseReplacement(Route route, List<Stage> currentStages, Stage lostStage,
			Set<String> excluded) throws PeerException {
		CompletableFuture<Optional<List<Stage>>> chosen = new CompletableFuture<>();
		this.controlThread.post(() -> {
			RouteRequest routeRequest = new RouteRequest(route.model(), route.version(), route.adapter(),
					lostStage.layers(), excluded);
			Optional<List<Stage>> replacements = this.routePolicy.choose(routeRequest,
					this.engineTable.view(this.clock.nanos()), this.random);
			replacements.ifPresent((stages) -> swapStages(currentStages, lostStage, stages));
			chosen.complete(replacements);
		});
		try {
			return chosen.get(REPLACEMENT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException | ExecutionException ex) {
			throw new PeerException(Step.REPLACE_STAGE, new Peer(Peer.Kind.ENGINE, lostStage.engine()),
					"no replacement was chosen within " + REPLACEMENT_TIMEOUT.toMillis() + " ms", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new PeerException(Step.REPLACE_STAGE, new Peer(Peer.Kind.ENGINE, lostStage.engine()),
					"interrupted while waiting for a replacement", ex);
		}
	}

	private void swapStages(List<Stage> currentStages, Stage lostStage, List<Stage> replacements) {
		if (currentStages.remove(lostStage)) {
			this.engineTable.release(List.of(lostStage));
		}
		currentStages.addAll(replacements);
		this.engineTable.acquire(replacements);
		publishSnapshot(snapshot().configuration(), snapshot().draining());
	}

	private boolean runStream(AdmissionAction.Grant grant, Route route, StageReplacement replacement,
			CallerAnswer answer, AtomicInteger tokens) {
		CallerRequest request = grant.request();
		AtomicInteger priority = new AtomicInteger(grant.workClass().priority());
		StreamRequest stream = new StreamRequest(request.id(), request.promptTokens(), request.maxTokens(),
				priority::get);
		try {
			this.routeRunner.run(stream, route, replacement, (index, text) -> {
				answer.sendToken(index, text);
				if (tokens.incrementAndGet() == grant.estimatedTokens() + 1) {
					priority.set(WorkClass.LONG.priority());
					this.controlThread.post(() -> performAdmissionActions(
							this.admission.reclassifyAsLong(request.id(), this.clock.nanos())));
				}
			});
			answer.complete();
			return true;
		}
		catch (PeerException ex) {
			logger.warn("request {} failed: {}", request.id(), ex.toString());
			answer.fail(ex);
		}
		catch (RuntimeException ex) {
			logger.error("request {} failed", request.id(), ex);
			answer.fail(new PeerException(Step.DECODE, new Peer(Peer.Kind.ENGINE, ""), "internal error", ex));
		}
		return false;
	}

	private void failAsync(CallerAnswer answer, NotRunException error) {
		this.trafficExecutor.execute(() -> answer.fail(error));
	}

	private void publishSnapshot(Configuration configuration, boolean draining) {
		this.controlThread.assertOnControlThread();
		this.snapshot.set(new ControlSnapshot(configuration, this.engineTable.view(this.clock.nanos()),
				this.leavingUpstreams.leavingNames(), draining));
	}

}
