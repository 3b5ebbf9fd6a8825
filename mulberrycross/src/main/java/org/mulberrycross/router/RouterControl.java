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
 * Owns the control state of a router daemon and changes it on the control thread only.
 * Streams run on traffic threads. Thread-safe.
 */
public final class RouterControl implements CompletionService {

	private static final Logger logger = LoggerFactory.getLogger(RouterControl.class);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Bound on the wait of a stream for the control thread to choose a stage. */
	private static final Duration REPLACEMENT_WAIT = Duration.ofMillis(500);

	private static final Duration TRIAL_TIMEOUT = Duration.ofMillis(300);

	private static final MeasuredAnswer.Targets TARGETS = new MeasuredAnswer.Targets(Objective.FIRST_TOKEN_TARGET_NANOS,
			Objective.BETWEEN_TOKENS_TARGET_NANOS);

	private final ControlThread control;

	private final Executor traffic;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final RoutePolicy policy;

	private final RouteRunner runner;

	private final Admission admission;

	private final StageProbe probe;

	private final EngineHealth health = new EngineHealth();

	private final LeavingUpstreams leaving = new LeavingUpstreams();

	private final EngineTable engines = new EngineTable(this.leaving);

	private final Map<String, CallerAnswer> waiting = new HashMap<>();

	/** Routes of requests that are being granted. */
	private final Map<String, Route> reserved = new HashMap<>();

	private final BurnCounters burn = new BurnCounters();

	private final AtomicReference<ControlSnapshot> snapshot;

	/**
	 * Creates the control of a daemon without a configuration.
	 * @param control the control thread, not null
	 * @param traffic runs streams, not null; must be able to run as many at the same time
	 * as the admission grants
	 * @param clock the daemon's clock, not null
	 * @param random the source of random numbers, used on the control thread only
	 * @param policy chooses routes, not null
	 * @param runner runs streams, not null
	 * @param admission decides when requests run, not null; owned by this object from now
	 * on
	 * @param probe probes suspected engines on traffic threads, not null
	 */
	public RouterControl(ControlThread control, Executor traffic, MonotonicClock clock, RandomGenerator random,
			RoutePolicy policy, RouteRunner runner, Admission admission, StageProbe probe) {
		this.control = Objects.requireNonNull(control, "control");
		this.traffic = Objects.requireNonNull(traffic, "traffic");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.random = Objects.requireNonNull(random, "random");
		this.policy = Objects.requireNonNull(policy, "policy");
		this.runner = Objects.requireNonNull(runner, "runner");
		this.admission = Objects.requireNonNull(admission, "admission");
		this.probe = Objects.requireNonNull(probe, "probe");
		this.snapshot = new AtomicReference<>(
				new ControlSnapshot(Configuration.empty(), new EngineView(clock.nanos(), List.of()), Set.of(), false));
	}

	/**
	 * Returns the control state as last published.
	 * @return the snapshot, not null
	 */
	public ControlSnapshot snapshot() {
		return this.snapshot.get();
	}

	/**
	 * Puts a configuration in force. One whose generation is not above the current one is
	 * ignored.
	 * @param configuration the configuration, not null
	 */
	public void apply(Configuration configuration) {
		Objects.requireNonNull(configuration, "configuration");
		this.control.post(() -> {
			if (configuration.generation() <= snapshot().configuration().generation()) {
				return;
			}
			this.engines.configure(configuration);
			publish(configuration, snapshot().draining());
			logger.info("configuration generation {} in force, {} objects", configuration.generation(),
					configuration.objects().size());
		});
	}

	/**
	 * Marks the daemon as shutting down, so that it reports that it is not ready.
	 */
	public void drain() {
		this.control.post(() -> publish(snapshot().configuration(), true));
	}

	@Override
	public void serve(CallerRequest request, CallerAnswer callerAnswer) {
		CallerAnswer answer = new MeasuredAnswer(callerAnswer, this.clock, request.arrivalNanos(), TARGETS,
				(measure) -> this.control.post(() -> count(request, measure)));
		boolean accepted = this.control.offer(() -> {
			this.waiting.put(request.id(), answer);
			perform(this.admission.arrived(request, this.clock.nanos()));
		});
		if (!accepted) {
			answer.fail(new NotRunException(Step.ADMIT, new Peer(Peer.Kind.CALLER, request.team()),
					"the daemon is overloaded", RETRY_AFTER));
		}
	}

	/**
	 * Returns the upstreams that get no new work, for use on the control thread. After a
	 * change there, {@link #leavingChanged} is called.
	 * @return the upstreams, not null
	 */
	LeavingUpstreams leaving() {
		this.control.assertCurrent();
		return this.leaving;
	}

	/**
	 * Publishes what changed in {@link #leaving}.
	 */
	void leavingChanged() {
		this.engines.refreshLeaving();
		publish(snapshot().configuration(), snapshot().draining());
	}

	/**
	 * Returns the burn of this daemon's error budgets.
	 * @return completes with the report once the control thread has made it
	 */
	public CompletableFuture<BurnReport> burnReport() {
		CompletableFuture<BurnReport> report = new CompletableFuture<>();
		this.control.post(() -> report.complete(this.burn.report(this.clock.nanos())));
		return report;
	}

	private void count(CallerRequest request, MeasuredAnswer.Measure measure) {
		this.control.assertCurrent();
		this.burn.add(
				new ServiceLevelEvent(request.pipeline(), request.team(), measure.tokens() > 0,
						measure.firstTokenInTime(), measure.tokensInTime(), measure.tokensLate(), measure.succeeded()),
				this.clock.nanos());
	}

	/**
	 * Lets deadlines pass. Called at a fixed rate on the control thread.
	 */
	public void tick() {
		this.control.assertCurrent();
		perform(this.admission.tick(this.clock.nanos()));
		performHealth(this.health.tick(this.clock.nanos()));
	}

	/**
	 * Takes in what a stream learnt about an engine while it recovered.
	 * @param event the event, not null
	 */
	public void recovered(RecoveryEvent event) {
		this.control.post(() -> {
			EngineView view = this.engines.view(this.clock.nanos());
			if (event instanceof RecoveryEvent.ProbeFailed failed) {
				performHealth(this.health.failed(failed.engine(), view));
			}
			else if (event instanceof RecoveryEvent.StepsUnanswered unanswered) {
				performHealth(this.health.failed(unanswered.engine(), view));
			}
			else if (event instanceof RecoveryEvent.ProbeAnswered answered) {
				this.health.answered(answered.engine());
			}
		});
	}

	private void performHealth(List<HealthAction> actions) {
		for (HealthAction action : actions) {
			if (action instanceof HealthAction.Try trial) {
				this.engines.view(this.clock.nanos())
					.engine(trial.engine())
					.ifPresentOrElse(this::tryEngine, () -> this.health.forget(trial.engine()));
				continue;
			}
			boolean eject = action instanceof HealthAction.Eject;
			logger.warn("engine {} {}", action.engine(), eject ? "is suspected" : "answers again");
			this.engines.suspect(action.engine(), eject);
			publish(snapshot().configuration(), snapshot().draining());
		}
	}

	private void tryEngine(EngineState engine) {
		Stage stage = new Stage(engine.name(), engine.address(), engine.layers());
		this.traffic.execute(() -> {
			boolean answered = answersProbe(stage);
			this.control.post(() -> performHealth(this.health.tried(stage.engine(), answered, this.clock.nanos())));
		});
	}

	private boolean answersProbe(Stage stage) {
		try {
			this.probe.probe(stage, TRIAL_TIMEOUT);
			return true;
		}
		catch (PeerException ex) {
			return false;
		}
	}

	/**
	 * Takes over measured steps of engines. Called on the control thread.
	 * @param samples the samples by engine, not null
	 */
	public void observe(Map<String, StepSample> samples) {
		this.control.assertCurrent();
		this.engines.observe(samples);
		publish(snapshot().configuration(), snapshot().draining());
	}

	/**
	 * Reserves a route for a request that is about to be granted. Called on the control
	 * thread.
	 * @param request the request, not null
	 * @param limitShare the share of each engine's stream limit that may be in use
	 * @return false if no route within the limits exists
	 */
	boolean reserve(CallerRequest request, double limitShare) {
		this.control.assertCurrent();
		Optional<Route> route = route(request, limitShare);
		route.ifPresent((found) -> {
			this.engines.acquire(found.stages());
			this.reserved.put(request.id(), found);
		});
		return route.isPresent();
	}

	private void perform(List<AdmissionAction> actions) {
		for (AdmissionAction action : actions) {
			CallerAnswer answer = this.waiting.remove(action.request().id());
			if (action instanceof AdmissionAction.Refuse refuse) {
				fail(answer, new NotRunException(Step.ADMIT, new Peer(Peer.Kind.CALLER, refuse.request().team()),
						refuse.reason(), refuse.retryAfter()));
			}
			else if (action instanceof AdmissionAction.Grant grant) {
				start(grant, this.reserved.remove(grant.request().id()), answer);
			}
		}
	}

	private void start(AdmissionAction.Grant grant, Route route, CallerAnswer answer) {
		List<Stage> stages = new ArrayList<>(route.stages());
		publish(snapshot().configuration(), snapshot().draining());
		String id = grant.request().id();
		this.traffic.execute(() -> {
			AtomicInteger tokens = new AtomicInteger();
			boolean complete = stream(grant, route, (lost, excluded) -> replace(route, stages, lost, excluded), answer,
					tokens);
			this.control.post(() -> {
				this.engines.release(stages);
				perform(this.admission.finished(id, tokens.get(), complete, this.clock.nanos()));
			});
		});
	}

	private Optional<Route> route(CallerRequest request, double limitShare) {
		Configuration configuration = snapshot().configuration();
		Optional<PipelineObject> pipeline = configuration.pipeline(request.pipeline());
		Optional<ModelObject> model = pipeline.flatMap((found) -> configuration.model(found.model()));
		if (model.isEmpty()) {
			return Optional.empty();
		}
		RouteRequest wanted = new RouteRequest(model.get().name(), pipeline.get().version(), pipeline.get().adapter(),
				new LayerRange(0, model.get().layers()), Set.of(), limitShare);
		return this.policy.choose(wanted, this.engines.view(this.clock.nanos()), this.random)
			.map((stages) -> new Route(wanted.model(), wanted.version(), wanted.adapter(), stages));
	}

	private Optional<List<Stage>> replace(Route route, List<Stage> held, Stage lost, Set<String> excluded)
			throws PeerException {
		CompletableFuture<Optional<List<Stage>>> chosen = new CompletableFuture<>();
		this.control.post(() -> {
			RouteRequest wanted = new RouteRequest(route.model(), route.version(), route.adapter(), lost.layers(),
					excluded);
			Optional<List<Stage>> stages = this.policy.choose(wanted, this.engines.view(this.clock.nanos()),
					this.random);
			stages.ifPresent((found) -> exchange(held, lost, found));
			chosen.complete(stages);
		});
		try {
			return chosen.get(REPLACEMENT_WAIT.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException | ExecutionException ex) {
			throw new PeerException(Step.REPLACE_STAGE, new Peer(Peer.Kind.ENGINE, lost.engine()),
					"no replacement chosen within " + REPLACEMENT_WAIT.toMillis() + " ms", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new PeerException(Step.REPLACE_STAGE, new Peer(Peer.Kind.ENGINE, lost.engine()),
					"interrupted while a replacement was chosen", ex);
		}
	}

	private void exchange(List<Stage> held, Stage lost, List<Stage> found) {
		if (held.remove(lost)) {
			this.engines.release(List.of(lost));
		}
		held.addAll(found);
		this.engines.acquire(found);
		publish(snapshot().configuration(), snapshot().draining());
	}

	private boolean stream(AdmissionAction.Grant grant, Route route, StageReplacement replacement, CallerAnswer answer,
			AtomicInteger tokens) {
		CallerRequest request = grant.request();
		AtomicInteger priority = new AtomicInteger(grant.workClass().priority());
		StreamRequest stream = new StreamRequest(request.id(), request.promptTokens(), request.maxTokens(),
				priority::get);
		try {
			this.runner.run(stream, route, replacement, (index, text) -> {
				answer.token(index, text);
				if (tokens.incrementAndGet() == grant.estimatedTokens() + 1) {
					priority.set(WorkClass.LONG.priority());
					this.control.post(() -> perform(this.admission.exceeded(request.id(), this.clock.nanos())));
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

	private void fail(CallerAnswer answer, NotRunException error) {
		this.traffic.execute(() -> answer.fail(error));
	}

	private void publish(Configuration configuration, boolean draining) {
		this.control.assertCurrent();
		this.snapshot.set(new ControlSnapshot(configuration, this.engines.view(this.clock.nanos()),
				this.leaving.names(), draining));
	}

}
