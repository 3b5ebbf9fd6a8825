package org.mulberrycross.router;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.ControlThread;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.PeerException;
import org.mulberrycross.caller.Admission;
import org.mulberrycross.caller.WordTokenizer;
import org.mulberrycross.caller.http.ChatHandler;
import org.mulberrycross.caller.http.ServiceHandler;
import org.mulberrycross.engine.RoutePolicies;
import org.mulberrycross.engine.StepwiseRouteRunner;
import org.mulberrycross.engine.http.HttpStageClient;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpListener;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.ObjectKind;
import org.mulberrycross.operator.OperatorObject;
import org.mulberrycross.operator.http.BurnHandler;
import org.mulberrycross.operator.json.ObjectCodec;
import org.mulberrycross.platform.ObjectPage;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.http.HttpInstanceList;
import org.mulberrycross.platform.http.HttpObjectStore;
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

	private static final Duration TICK = Duration.ofMillis(100);

	private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(30);

	/**
	 * Siblings are a little under 1 ms away; a longer silence counts as a failure.
	 */
	private static final Duration SIBLING_TIMEOUT = Duration.ofSeconds(1);

	/**
	 * Longest wait for answers at a shutdown. Longer than any answer takes, so that it
	 * only ends a process whose answers can no longer end.
	 */
	private static final Duration DRAIN_TIMEOUT = Duration.ofHours(1);

	private static final int PAGE_SIZE = 500;

	private final RouterSettings settings;

	private final MetricRegistry metrics = new MetricRegistry();

	private final ControlThread controlThread = new ControlThread("control", CONTROL_QUEUE_LIMIT);

	private final ExecutorService traffic;

	private final HttpClient client;

	private final HttpListener listener;

	private final RouterControl control;

	private final SiblingExchanges siblings;

	private final ServiceRuntime services;

	private final Thread follower;

	private volatile boolean closed;

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
		this.control = new RouterControl(this.controlThread, this.traffic, clock, RandomGenerator.getDefault(),
				RoutePolicies.leastOutstanding(),
				new StepwiseRouteRunner(new HttpStageClient(this.client), settings.stepTimeout()),
				new Admission(settings.maxStreams(), settings.maxQueued()));
		this.listener = new HttpListener(settings.listen().host(), settings.listen().port(), WORKER_THREADS);
		this.listener.route(new ChatHandler(() -> this.control.snapshot().configuration(), this.control,
				new WordTokenizer(), () -> UUID.randomUUID().toString(), clock,
				new ChatHandler.ChatLimits(settings.maxBodyBytes(), settings.maxWait())), ChatHandler.PATH);
		this.services = new ServiceRuntime(() -> this.control.snapshot().configuration(), this.client, settings);
		this.listener.route(this.services.handler(), ServiceHandler.PATHS);
		this.listener.route(new HealthHandler(this.control::snapshot), HealthHandler.HEALTH_PATH,
				HealthHandler.READY_PATH);
		this.listener.route(new MetricsHandler(this.metrics), MetricsHandler.PATH);
		this.siblings = new SiblingExchanges(this.controlThread, this.control, clock, RandomGenerator.getDefault(),
				new Member(settings.name(), settings.listen(), System.currentTimeMillis(), 0),
				new HttpSiblingClient(this.client, SIBLING_TIMEOUT),
				new HttpInstanceList(this.client, settings.platform(), settings.platformTimeout()), settings.seeds());
		this.listener.route(new SiblingHandler(this.siblings::gossip, this.siblings::shares, Optional::empty,
				(digest) -> Optional.empty()), SiblingHandler.PATHS);
		this.listener.route(new BurnHandler(() -> this.control.burnReport().join()), BurnHandler.PATH);
		this.follower = new Thread(this::follow, "configuration");
		this.follower.setDaemon(true);
	}

	private static ExecutorService trafficThreads(int count) {
		ThreadPoolExecutor executor = new ThreadPoolExecutor(count, count, 30, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>());
		executor.allowCoreThreadTimeOut(true);
		return executor;
	}

	/**
	 * Starts to listen and to follow the configuration.
	 * @throws IOException if the address cannot be bound
	 */
	public void start() throws IOException {
		this.controlThread.every(TICK, this.control::tick);
		this.siblings.start();
		this.listener.start();
		this.follower.start();
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

	private void follow() {
		ObjectStore store = new HttpObjectStore(this.client, this.settings.platform(), this.settings.platformTimeout());
		Set<String> kinds = Set.of("model", "pipeline", "team", "upstream");
		while (!this.closed) {
			try {
				long revision = readAll(store, kinds);
				store.watch(kinds, revision, WATCH_TIMEOUT);
			}
			catch (PeerException ex) {
				logger.warn("configuration cannot be read: {}", ex.toString());
				pause();
			}
		}
	}

	private long readAll(ObjectStore store, Set<String> kinds) throws PeerException {
		List<OperatorObject> objects = new ArrayList<>();
		String after = "";
		ObjectPage page;
		do {
			page = store.list(kinds, after, PAGE_SIZE);
			for (StoredObject stored : page.objects()) {
				objects.add(ObjectCodec.decode(ObjectKind.of(stored.kind()).orElseThrow(), stored.value()));
				after = stored.key();
			}
		}
		while (page.more());
		this.control.apply(Configuration.of(page.revision(), objects));
		return page.revision();
	}

	private static void pause() {
		try {
			TimeUnit.SECONDS.sleep(1);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.follower.interrupt();
		this.siblings.close();
		this.listener.close();
		this.traffic.shutdownNow();
		this.services.close();
		this.controlThread.close();
		this.client.close();
	}

}
