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
 * A running router daemon. Thread-safe.
 */
public final class Router implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Router.class);

	private static final int SELECTOR_THREADS = 2;

	private static final int WORKER_THREADS = 16;

	private static final int CONTROL_QUEUE_LIMIT = 4096;

	private static final int CANCEL_THREADS = 4;

	private static final int CANCEL_QUEUE_LIMIT = 1024;

	/** Covers garbage collection pauses and one retransmission of TCP (200 ms). */
	private static final Duration STEP_FLOOR = Duration.ofMillis(250);

	private static final Duration TICK = Duration.ofMillis(100);

	/**
	 * Siblings are a little under 1 ms away; a longer silence counts as a failure.
	 */
	private static final Duration SIBLING_TIMEOUT = Duration.ofSeconds(1);

	/**
	 * Longest wait for answers at a shutdown. Longer than any answer takes, so that it
	 * only ends a process whose answers can no longer end.
	 */
	private static final Duration DRAIN_TIMEOUT = Duration.ofHours(1);

	private final RouterSettings settings;

	private final MetricRegistry metrics = new MetricRegistry();

	private final ControlThread controlThread = new ControlThread("control", CONTROL_QUEUE_LIMIT);

	private final ExecutorService traffic;

	private final ExecutorService cancels = cancelThreads();

	private final HttpClient client;

	private final HttpListener listener;

	private final StepCollector steps;

	private final RouterControl control;

	private final SiblingExchanges siblings;

	private final ServiceRuntime services;

	private final ConfigurationThreads configuration;

	/**
	 * Creates a daemon that does not listen yet.
	 * @param settings the settings, not null
	 * @throws IOException if the transport cannot be started
	 */
	public Router(RouterSettings settings) throws IOException {
		this.settings = settings;
		this.traffic = trafficThreads(settings.maxStreams() + 1);
		this.client = new HttpClient(SELECTOR_THREADS);
		MonotonicClock clock = MonotonicClock.system();
		StageCalls calls = new HttpStageClient(this.client).calls();
		this.steps = new StepCollector(calls.step(), clock);
		this.control = new RouterControl(this.controlThread, this.traffic, clock, RandomGenerator.getDefault(),
				routePolicy(settings), runner(calls.withStep(this.steps), clock), admission(settings), calls.probe());
		this.listener = new HttpListener(settings.listen().host(), settings.listen().port(), WORKER_THREADS);
		this.listener.route(new ChatHandler(this::configuration, this.control, new WordTokenizer(),
				() -> UUID.randomUUID().toString(), clock,
				new ChatHandler.ChatLimits(settings.maxBodyBytes(), settings.maxWait())), ChatHandler.PATH);
		this.services = new ServiceRuntime(this.control::snapshot, this.client, settings);
		this.listener.route(this.services.handler(), ServiceHandler.PATHS);
		this.listener.route(new HealthHandler(this.control::snapshot, joined(clock)), HealthHandler.HEALTH_PATH,
				HealthHandler.READY_PATH);
		this.metrics.gauge("configuration.generation", () -> () -> configuration().generation());
		this.metrics.gauge("engines.known", () -> () -> engines().size());
		this.metrics.gauge("engines.available", () -> () -> engines().stream().filter(EngineState::available).count());
		this.metrics.gauge("streams.on_engines",
				() -> () -> engines().stream().mapToInt(EngineState::outstanding).sum());
		this.listener.route(new MetricsHandler(this.metrics), MetricsHandler.PATH);
		this.listener.route(new BurnHandler(() -> this.control.burnReport().join()), BurnHandler.PATH);
		ObjectStore store = new HttpObjectStore(this.client, settings.platform(), settings.platformTimeout());
		JsonConfigurationCodec codec = new JsonConfigurationCodec();
		ConfigurationFollower follower = new ConfigurationFollower(codec, this.control::apply);
		this.siblings = siblings(settings, clock, follower);
		this.listener.route(
				new SiblingHandler(this.siblings::gossip, this.siblings::shares, follower::head, follower::chunk),
				SiblingHandler.PATHS);
		this.configuration = new ConfigurationThreads(
				follower, new HeadWatch(store, follower), new ConfigurationPublisher(store, codec, settings.name(),
						clock, () -> UUID.randomUUID().toString(), this.siblings::isPublisherCandidate),
				this.siblings::configurationSources, new SecureRandom());
	}

	/**
	 * Returns whether this daemon has run for one lease time. Until then it may have to
	 * hold back the limits of teams that it owns, so callers are better served elsewhere.
	 * @param clock the daemon's clock
	 * @return true once the time has passed
	 */
	private static BooleanSupplier joined(MonotonicClock clock) {
		long joined = clock.nanos() + LimitShares.LEASE.toNanos();
		return () -> clock.nanos() - joined >= 0;
	}

	private SiblingExchanges siblings(RouterSettings settings, MonotonicClock clock, ConfigurationFollower follower) {
		return new SiblingExchanges(this.controlThread, this.control, clock, RandomGenerator.getDefault(),
				new Member(settings.name(), settings.listen(), System.currentTimeMillis(), 0),
				new HttpSiblingClient(this.client, SIBLING_TIMEOUT),
				new HttpInstanceList(this.client, settings.platform(), settings.platformTimeout()), settings.seeds(),
				follower);
	}

	private static RoutePolicy routePolicy(RouterSettings settings) {
		return switch (settings.routingPolicy()) {
			case "random" -> RoutePolicies.random();
			case "round-robin" -> RoutePolicies.roundRobin();
			case "least-outstanding" -> RoutePolicies.leastOutstanding();
			default -> new ExpectedTimePolicy();
		};
	}

	private Admission admission(RouterSettings settings) {
		AdmissionSettings policy = "fifo".equals(settings.admissionPolicy())
				? AdmissionSettings.fifo(settings.maxStreams(), settings.maxQueued())
				: AdmissionSettings.fair(settings.maxStreams(), settings.maxQueued());
		return new Admission(policy,
				new AdmissionInputs((team) -> configuration().team(team).map(TeamObject::weight).orElse(1),
						(pipeline) -> configuration().pipeline(pipeline)
							.map(PipelineObject::longTokens)
							.orElse(Integer.MAX_VALUE),
						new DeferredTeamLimits(() -> this.siblings.teamLimits()),
						(request, limitShare) -> this.control.reserve(request, limitShare)));
	}

	private List<EngineState> engines() {
		return this.control.snapshot().engines().engines();
	}

	private Configuration configuration() {
		return this.control.snapshot().configuration();
	}

	/** Passes on measured steps in one batch, then lets deadlines pass. */
	private void tick() {
		this.control.observe(this.steps.take());
		this.control.tick();
	}

	private static ExecutorService trafficThreads(int count) {
		ThreadPoolExecutor executor = new ThreadPoolExecutor(count, count, 30, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>());
		executor.allowCoreThreadTimeOut(true);
		return executor;
	}

	private StepwiseRouteRunner runner(StageCalls calls, MonotonicClock clock) {
		RecoveryMetrics recovery = new RecoveryMetrics(this.metrics);
		return new StepwiseRouteRunner(calls, new StepTimeouts(STEP_FLOOR, this.settings.stepTimeout()),
				RecoveryLimits.DEFAULT, this::engineLoad, (event) -> {
					recovery.on(event);
					this.control.recovered(event);
				}, clock, this.cancels);
	}

	private Optional<EngineLoad> engineLoad(String engine) {
		return this.control.snapshot().engines().engine(engine).flatMap(EngineState::load);
	}

	// Cancelling is best effort, since engines drop idle streams by themselves. Calls
	// that find the queue full are left out.
	private static ExecutorService cancelThreads() {
		ThreadPoolExecutor executor = new ThreadPoolExecutor(CANCEL_THREADS, CANCEL_THREADS, 30, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>(CANCEL_QUEUE_LIMIT), new ThreadPoolExecutor.DiscardPolicy());
		executor.allowCoreThreadTimeOut(true);
		return executor;
	}

	/**
	 * Starts to listen and to follow the configuration.
	 * @throws IOException if the address cannot be bound
	 */
	public void start() throws IOException {
		this.controlThread.every(TICK, this::tick);
		this.siblings.start();
		this.listener.start();
		this.configuration.start();
		this.services.start();
		logger.info("daemon {} listens on {}", this.settings.name(), this.settings.listen());
	}

	/**
	 * Stops the daemon without cutting off a request: reports that it is not ready, goes
	 * on accepting for the grace period, and returns when the last answer has ended.
	 */
	public void shutDown() {
		logger.info("daemon {} drains", this.settings.name());
		this.control.drain();
		try {
			boolean complete = this.listener.drain(this.settings.shutdownGrace(), DRAIN_TIMEOUT);
			logger.info("daemon {} stops, all requests ended: {}", this.settings.name(), complete);
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
		this.configuration.close();
		this.siblings.close();
		this.listener.close();
		this.traffic.shutdownNow();
		this.services.close();
		this.cancels.shutdownNow();
		this.controlThread.close();
		this.client.close();
	}

}
