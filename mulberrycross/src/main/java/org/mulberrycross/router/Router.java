package org.mulberrycross.router;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
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
import org.mulberrycross.caller.Admission;
import org.mulberrycross.caller.WordTokenizer;
import org.mulberrycross.caller.http.ChatHandler;
import org.mulberrycross.caller.http.ServiceHandler;
import org.mulberrycross.engine.RoutePolicies;
import org.mulberrycross.engine.StepwiseRouteRunner;
import org.mulberrycross.engine.http.HttpStageClient;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpListener;
import org.mulberrycross.operator.http.BurnHandler;
import org.mulberrycross.platform.ConfigurationFollower;
import org.mulberrycross.platform.ConfigurationPublisher;
import org.mulberrycross.platform.HeadWatch;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.http.HttpObjectStore;
import org.mulberrycross.platform.http.JsonConfigurationCodec;

/**
 * A running router daemon. Thread-safe.
 */
public final class Router implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(Router.class);

	private static final int SELECTOR_THREADS = 2;

	private static final int WORKER_THREADS = 16;

	private static final int CONTROL_QUEUE_LIMIT = 4096;

	private static final Duration TICK = Duration.ofMillis(100);

	/**
	 * Longest wait for answers at a shutdown. Longer than any answer takes, so that it
	 * only ends a process whose answers can no longer end.
	 */
	private static final Duration DRAIN_TIMEOUT = Duration.ofHours(1);

	private final RouterSettings settings;

	private final MetricRegistry metrics = new MetricRegistry();

	private final ControlThread controlThread = new ControlThread("control", CONTROL_QUEUE_LIMIT);

	private final ExecutorService traffic;

	private final HttpClient client;

	private final HttpListener listener;

	private final RouterControl control;

	private final ServiceRuntime services;

	private final ConfigurationFollower follower;

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
		this.listener.route(new BurnHandler(() -> this.control.burnReport().join()), BurnHandler.PATH);
		ObjectStore store = new HttpObjectStore(this.client, settings.platform(), settings.platformTimeout());
		JsonConfigurationCodec codec = new JsonConfigurationCodec();
		this.follower = new ConfigurationFollower(codec, this.control::apply);
		this.configuration = new ConfigurationThreads(
				this.follower, new HeadWatch(store, this.follower), new ConfigurationPublisher(store, codec,
						settings.name(), clock, () -> UUID.randomUUID().toString(), () -> true),
				List::of, new SecureRandom());
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

	/**
	 * Returns the configuration as this daemon can serve it to siblings. A sibling's
	 * newer head is applied by {@link ConfigurationFollower#follow}, which blocks.
	 * @return the follower, not null
	 */
	public ConfigurationFollower configuration() {
		return this.follower;
	}

	@Override
	public void close() {
		this.configuration.close();
		this.listener.close();
		this.traffic.shutdownNow();
		this.services.close();
		this.controlThread.close();
		this.client.close();
	}

}
