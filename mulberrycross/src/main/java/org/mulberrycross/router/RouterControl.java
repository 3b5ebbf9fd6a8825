package org.mulberrycross.router;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
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
import org.mulberrycross.engine.EngineTable;
import org.mulberrycross.engine.EngineView;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.LeavingUpstreams;
import org.mulberrycross.engine.Route;
import org.mulberrycross.engine.RoutePolicy;
import org.mulberrycross.engine.RouteRequest;
import org.mulberrycross.engine.RouteRunner;
import org.mulberrycross.engine.Stage;
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

	private static final MeasuredAnswer.Targets TARGETS = new MeasuredAnswer.Targets(Objective.FIRST_TOKEN_TARGET_NANOS,
			Objective.BETWEEN_TOKENS_TARGET_NANOS);

	private final ControlThread control;

	private final Executor traffic;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final RoutePolicy policy;

	private final RouteRunner runner;

	private final Admission admission;

	private final LeavingUpstreams leaving = new LeavingUpstreams();

	private final EngineTable engines = new EngineTable(this.leaving);

	private final Map<String, CallerAnswer> waiting = new HashMap<>();

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
	 */
	public RouterControl(ControlThread control, Executor traffic, MonotonicClock clock, RandomGenerator random,
			RoutePolicy policy, RouteRunner runner, Admission admission) {
		this.control = Objects.requireNonNull(control, "control");
		this.traffic = Objects.requireNonNull(traffic, "traffic");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.random = Objects.requireNonNull(random, "random");
		this.policy = Objects.requireNonNull(policy, "policy");
		this.runner = Objects.requireNonNull(runner, "runner");
		this.admission = Objects.requireNonNull(admission, "admission");
		this.snapshot = new AtomicReference<>(
				new ControlSnapshot(Configuration.empty(), new EngineView(clock.nanos(), List.of()), false));
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
	}

	private void perform(List<AdmissionAction> actions) {
		for (AdmissionAction action : actions) {
			CallerAnswer answer = this.waiting.remove(action.request().id());
			if (action instanceof AdmissionAction.Refuse refuse) {
				fail(answer, new NotRunException(Step.ADMIT, new Peer(Peer.Kind.CALLER, refuse.request().team()),
						refuse.reason(), refuse.retryAfter()));
			}
			else {
				start(action.request(), answer);
			}
		}
	}

	private void start(CallerRequest request, CallerAnswer answer) {
		Optional<Route> route = route(request);
		if (route.isEmpty()) {
			fail(answer, new NotRunException(Step.CHOOSE_ROUTE, new Peer(Peer.Kind.ENGINE, ""),
					"no available engines cover pipeline '" + request.pipeline() + "'", RETRY_AFTER));
			this.control.post(() -> perform(this.admission.finished(this.clock.nanos())));
			return;
		}
		List<Stage> stages = route.get().stages();
		this.engines.acquire(stages);
		publish(snapshot().configuration(), snapshot().draining());
		this.traffic.execute(() -> {
			stream(request, route.get(), answer);
			this.control.post(() -> {
				this.engines.release(stages);
				publish(snapshot().configuration(), snapshot().draining());
				perform(this.admission.finished(this.clock.nanos()));
			});
		});
	}

	private Optional<Route> route(CallerRequest request) {
		Configuration configuration = snapshot().configuration();
		Optional<PipelineObject> pipeline = configuration.pipeline(request.pipeline());
		Optional<ModelObject> model = pipeline.flatMap((found) -> configuration.model(found.model()));
		if (model.isEmpty()) {
			return Optional.empty();
		}
		RouteRequest wanted = new RouteRequest(model.get().name(), pipeline.get().version(), pipeline.get().adapter(),
				new LayerRange(0, model.get().layers()), Set.of());
		return this.policy.choose(wanted, this.engines.view(this.clock.nanos()), this.random)
			.map((stages) -> new Route(wanted.model(), wanted.version(), wanted.adapter(), stages));
	}

	private void stream(CallerRequest request, Route route, CallerAnswer answer) {
		StreamRequest stream = new StreamRequest(request.id(), request.promptTokens(), request.maxTokens(), 0);
		try {
			this.runner.run(stream, route, answer::token);
			answer.complete();
		}
		catch (PeerException ex) {
			logger.warn("request {} failed: {}", request.id(), ex.toString());
			answer.fail(ex);
		}
		catch (RuntimeException ex) {
			logger.error("request {} failed", request.id(), ex);
			answer.fail(new PeerException(Step.DECODE, new Peer(Peer.Kind.ENGINE, ""), "internal error", ex));
		}
	}

	private void fail(CallerAnswer answer, NotRunException error) {
		this.traffic.execute(() -> answer.fail(error));
	}

	private void publish(Configuration configuration, boolean draining) {
		this.control.assertCurrent();
		this.snapshot.set(new ControlSnapshot(configuration, this.engines.view(this.clock.nanos()), draining));
	}

}
