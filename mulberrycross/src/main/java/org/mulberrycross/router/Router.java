package org.mulberrycross.router;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.ControlThread;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.caller.Admission;
import org.mulberrycross.caller.AdmissionInputs;
import org.mulberrycross.caller.AdmissionSettings;
import org.mulberrycross.caller.WordTokenizer;
import org.mulberrycross.caller.http.ChatHandler;
import org.mulberrycross.caller.http.ServiceHandler;
import org.mulberrycross.engine.EngineLoad;
import org.mulberrycross.engine.EngineState;
import org.mulberrycross.engine.ExpectedTimePolicy;
import org.mulberrycross.engine.RecoveryLimits;
import org.mulberrycross.engine.RoutePolicies;
import org.mulberrycross.engine.RoutePolicy;
import org.mulberrycross.engine.StageCalls;
import org.mulberrycross.engine.StepCollector;
import org.mulberrycross.engine.StepTimeouts;
import org.mulberrycross.engine.StepwiseRouteRunner;
import org.mulberrycross.engine.http.HttpStageClient;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpListener;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.PipelineObject;
import org.mulberrycross.operator.TeamObject;
import org.mulberrycross.operator.http.BurnHandler;
import org.mulberrycross.platform.ConfigurationFollower;
import org.mulberrycross.platform.ConfigurationPublisher;
import org.mulberrycross.platform.HeadWatch;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.http.HttpInstanceList;
import org.mulberrycross.platform.http.HttpObjectStore;
import org.mulberrycross.platform.http.JsonConfigurationCodec;
import org.mulberrycross.sibling.LimitShares;
import org.mulberrycross.sibling.Member;
import org.mulberrycross.sibling.http.HttpSiblingClient;
import org.mulberrycross.sibling.http.SiblingHandler;

/**
 * Router daemon. Assembles its parts according to the settings, starts them and stops
 * them without cutting off running requests. Thread-safe.
 */
public final class Router implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Router.class);

	private static final int SELECTOR_THREADS = 2;

	private static final int WORKER_THREADS = 16;

	private static final int CONTROL_QUEUE_CAPACITY = 4096;

	private static final int CANCEL_THREADS = 4;

	private static final int CANCEL_QUEUE_CAPACITY = 1024;

	/** Longer than a garbage collection pause or one TCP retransmission (200 ms). */
	private static final Duration MIN_STEP_TIMEOUT = Duration.ofMillis(250);

	private static final Duration TICK_PERIOD = Duration.ofMillis(100);

	/**
	 * Far above the round trip to a sibling, which takes a little under 1 ms.
	 */
	private static final Duration SIBLING_TIMEOUT = Duration.ofSeconds(1);

	/**
	 * Maximum wait for running requests at shutdown. Longer than any response takes, so
	 * that only requests that are stuck are cut off.
	 */
	private static final Duration DRAIN_TIMEOUT = Duration.ofHours(1);

	private final RouterSettings settings;

	private final MetricRegistry metrics = new MetricRegistry();

	private final ControlThread controlThread = new ControlThread("control", CONTROL_QUEUE_CAPACITY);

	private final ExecutorService trafficExecutor;

	private final ExecutorService cancelExecutor = createCancelExecutor();

	private final HttpClient httpClient;

	private final HttpListener listener;

	private final StepCollector stepCollector;

	private final RouterControl control;

	private final SiblingExchanges siblingExchanges;

	private final ServiceRuntime serviceRuntime;

	private final ConfigurationThreads configurationThreads;

	/**
	 * Creates a daemon that does not accept connections yet.
	 * @param settings the settings, not null
	 * @throws IOException if the transport cannot be started
	 */
	public Router(RouterSettings settings) throws IOException {
		this.settings = settings;
		this.trafficExecutor = createTrafficExecutor(settings.maxRunningRequests() + 1);
		this.httpClient = new HttpClient(SELECTOR_THREADS);
		MonotonicClock clock = MonotonicClock.system();
		StageCalls stageCalls = new HttpStageClient(this.httpClient).calls();
		this.stepCollector = new StepCollector(stageCalls.step(), clock);
		this.control = new RouterControl(this.controlThread, this.trafficExecutor, clock, RandomGenerator.getDefault(),
				createRoutePolicy(settings), createRouteRunner(stageCalls.withStep(this.stepCollector), clock),
				createAdmission(settings), stageCalls.probe());
		this.listener = new HttpListener(settings.listenAddress().host(), settings.listenAddress().port(),
				WORKER_THREADS);
		this.listener.route(
				new ChatHandler(this::configuration, this.control, new WordTokenizer(),
						() -> UUID.randomUUID().toString(), clock,
						new ChatHandler.ChatLimits(settings.maxBodyBytes(), settings.maxQueueWait())),
				ChatHandler.PATH);
		this.serviceRuntime = new ServiceRuntime(this.control::snapshot, this.httpClient, settings);
		this.listener.route(this.serviceRuntime.handler(), ServiceHandler.PATHS);
		this.listener.route(new HealthHandler(this.control::snapshot, initialLeaseElapsed(clock)),
				HealthHandler.HEALTH_PATH, HealthHandler.READY_PATH);
		this.metrics.gauge("configuration.generation", () -> () -> configuration().generation());
		this.metrics.gauge("engines.known", () -> () -> engines().size());
		this.metrics.gauge("engines.available",
				() -> () -> engines().stream().filter(EngineState::isAvailable).count());
		this.metrics.gauge("streams.on_engines",
				() -> () -> engines().stream().mapToInt(EngineState::outstanding).sum());
		this.listener.route(new MetricsHandler(this.metrics), MetricsHandler.PATH);
		this.listener.route(new BurnHandler(() -> this.control.burnReport().join()), BurnHandler.PATH);
		ObjectStore store = new HttpObjectStore(this.httpClient, settings.platformAddress(),
				settings.platformTimeout());
		JsonConfigurationCodec codec = new JsonConfigurationCodec();
		ConfigurationFollower follower = new ConfigurationFollower(codec, this.control::apply);
		this.siblingExchanges = createSiblingExchanges(settings, clock, follower);
		this.listener.route(new SiblingHandler(this.siblingExchanges::answerGossip,
				this.siblingExchanges::answerShareRequest, follower::head, follower::chunk), SiblingHandler.PATHS);
		this.configurationThreads = new ConfigurationThreads(follower, new HeadWatch(store, follower),
				new ConfigurationPublisher(store, codec, settings.name(), clock, () -> UUID.randomUUID().toString(),
						this.siblingExchanges::isPublisherCandidate),
				this.siblingExchanges::configurationSources, new SecureRandom());
	}

	/**
	 * Returns a check whether one lease time has passed since this call. During that
	 * time, a new owner of a team's limit may only grant the shares that other daemons
	 * report to hold, so this daemon is not ready and other daemons serve the callers.
	 * @param clock the daemon's clock
	 * @return a predicate that becomes true when the lease time has passed
	 */
	private static BooleanSupplier initialLeaseElapsed(MonotonicClock clock) {
		long leaseEndNanos = clock.nanos() + LimitShares.LEASE.toNanos();
		return () -> clock.nanos() - leaseEndNanos >= 0;
	}

	private SiblingExchanges createSiblingExchanges(RouterSettings settings, MonotonicClock clock,
			ConfigurationFollower follower) {
		return new SiblingExchanges(this.controlThread, this.control, clock, RandomGenerator.getDefault(),
				new Member(settings.name(), settings.listenAddress(), System.currentTimeMillis(), 0),
				new HttpSiblingClient(this.httpClient, SIBLING_TIMEOUT),
				new HttpInstanceList(this.httpClient, settings.platformAddress(), settings.platformTimeout()),
				settings.seeds(), follower);
	}

	private static RoutePolicy createRoutePolicy(RouterSettings settings) {
		return switch (settings.routingPolicy()) {
			case "random" -> RoutePolicies.random();
			case "round-robin" -> RoutePolicies.roundRobin();
			case "least-outstanding" -> RoutePolicies.leastOutstanding();
			default -> new ExpectedTimePolicy();
		};
	}

	private Admission createAdmission(RouterSettings settings) {
		AdmissionSettings admissionSettings = "fifo".equals(settings.admissionPolicy())
				? AdmissionSettings.fifo(settings.maxRunningRequests(), settings.maxQueuedRequests())
				: AdmissionSettings.fair(settings.maxRunningRequests(), settings.maxQueuedRequests());
		return new Admission(admissionSettings,
				new AdmissionInputs((team) -> configuration().team(team).map(TeamObject::weight).orElse(1),
						(pipeline) -> configuration().pipeline(pipeline)
							.map(PipelineObject::longTokens)
							.orElse(Integer.MAX_VALUE),
						new DeferredTeamLimits(() -> this.siblingExchanges.teamLimits()),
						(request, limitShare) -> this.control.reserveRoute(request, limitShare)));
	}

	private List<EngineState> engines() {
		return this.control.snapshot().engines().engines();
	}

	private Configuration configuration() {
		return this.control.snapshot().configuration();
	}

	/**
	 * Applies the step samples since the last tick in one batch, then expires deadlines.
	 */
	private void tick() {
		this.control.recordStepSamples(this.stepCollector.drainSamples());
		this.control.tick();
	}

	private static ExecutorService createTrafficExecutor(int threads) {
		ThreadPoolExecutor executor = new ThreadPoolExecutor(threads, threads, 30, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>());
		executor.allowCoreThreadTimeOut(true);
		return executor;
	}

	private StepwiseRouteRunner createRouteRunner(StageCalls calls, MonotonicClock clock) {
		RecoveryMetrics recoveryMetrics = new RecoveryMetrics(this.metrics);
		return new StepwiseRouteRunner(calls, new StepTimeouts(MIN_STEP_TIMEOUT, this.settings.stepTimeout()),
				RecoveryLimits.DEFAULT, this::engineLoad, (event) -> {
					recoveryMetrics.onEvent(event);
					this.control.handleRecoveryEvent(event);
				}, clock, this.cancelExecutor);
	}

	private Optional<EngineLoad> engineLoad(String engine) {
		return this.control.snapshot().engines().engine(engine).flatMap(EngineState::load);
	}

	// Cancellation is best effort, since engines drop idle streams by themselves. Calls
	// are discarded while the queue is full.
	private static ExecutorService createCancelExecutor() {
		ThreadPoolExecutor executor = new ThreadPoolExecutor(CANCEL_THREADS, CANCEL_THREADS, 30, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>(CANCEL_QUEUE_CAPACITY), new ThreadPoolExecutor.DiscardPolicy());
		executor.allowCoreThreadTimeOut(true);
		return executor;
	}

	/**
	 * Starts the listener, the exchanges with siblings and the background threads.
	 * @throws IOException if the listen address cannot be bound
	 */
	public void start() throws IOException {
		this.controlThread.scheduleWithFixedDelay(TICK_PERIOD, this::tick);
		this.siblingExchanges.start();
		this.listener.start();
		this.configurationThreads.start();
		this.serviceRuntime.start();
		logger.info("daemon {} is listening on {}", this.settings.name(), this.settings.listenAddress());
	}

	/**
	 * Stops the daemon without cutting off requests: fails the readiness check, accepts
	 * requests for the grace period, and returns when the last one has ended.
	 */
	public void shutDown() {
		logger.info("daemon {} is draining", this.settings.name());
		this.control.markDraining();
		try {
			boolean drained = this.listener.drain(this.settings.shutdownGrace(), DRAIN_TIMEOUT);
			logger.info("daemon {} is stopping, all requests ended: {}", this.settings.name(), drained);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		close();
	}

	/**
	 * Waits until this daemon is closed.
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public void awaitClose() throws InterruptedException {
		this.listener.awaitClose();
	}

	@Override
	public void close() {
		this.configurationThreads.close();
		this.siblingExchanges.close();
		this.listener.close();
		this.trafficExecutor.shutdownNow();
		this.serviceRuntime.close();
		this.cancelExecutor.shutdownNow();
		this.controlThread.close();
		this.httpClient.close();
	}

}
