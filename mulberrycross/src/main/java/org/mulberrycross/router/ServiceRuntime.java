package org.mulberrycross.router;

import java.time.Clock;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.PeerException;
import org.mulberrycross.Supervisor;
import org.mulberrycross.caller.http.ServiceHandler;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.platform.http.HttpObjectStore;
import org.mulberrycross.service.AtMostOnceProtocol;
import org.mulberrycross.service.IntentLedger;
import org.mulberrycross.service.ServiceCaller;
import org.mulberrycross.service.ServiceDirectory;
import org.mulberrycross.service.UpstreamPolicy;
import org.mulberrycross.service.http.HttpServiceClient;

/**
 * Runs calls to plain services and the maintenance of their intent records on threads of
 * its own. Thread-safe.
 */
final class ServiceRuntime implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(ServiceRuntime.class);

	/** A blocked call occupies a thread, so slow services must not use stream threads. */
	private static final int CALL_THREADS = 64;

	private static final int MAX_QUEUED_CALLS = 256;

	private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

	/**
	 * Callers may retry a request with the same idempotency key for a day; see
	 * docs/decisions/0003-intent-ledger.md.
	 */
	private static final Duration RECORD_RETENTION = Duration.ofHours(24);

	private static final Duration MAX_CLAIM_AGE = Duration.ofSeconds(30);

	/** Maximum time that an attempt normally takes: claim, probes and call. */
	private static final Duration MAX_ATTEMPT_DURATION = Duration.ofSeconds(45);

	private static final int MAX_STORED_BODY_BYTES = 64 << 10;

	private static final Duration MAINTENANCE_INTERVAL = Duration.ofSeconds(1);

	/** Leaves most of the object API's request rate to calls after an outage. */
	private static final int MAX_TASKS_PER_INTERVAL = 20;

	/** Limits 330 daemons to fewer than 6 reads a second in total. */
	private static final Duration SWEEP_INTERVAL = Duration.ofMinutes(1);

	private final ThreadPoolExecutor callExecutor;

	private final ScheduledExecutorService maintenanceExecutor;

	/** Used by the thread of the maintenance only. */
	private final Supervisor supervisor = new Supervisor("intents");

	private final IntentLedger ledger;

	private final ServiceCaller serviceCaller;

	private final ServiceHandler handler;

	ServiceRuntime(Supplier<ControlSnapshot> snapshot, HttpClient client, RouterSettings settings) {
		Supplier<Configuration> configuration = () -> snapshot.get().configuration();
		this.callExecutor = new ThreadPoolExecutor(CALL_THREADS, CALL_THREADS, 30, TimeUnit.SECONDS,
				new ArrayBlockingQueue<>(MAX_QUEUED_CALLS), (task) -> createDaemonThread(task, "service-call"));
		this.callExecutor.allowCoreThreadTimeOut(true);
		this.maintenanceExecutor = Executors
			.newSingleThreadScheduledExecutor((task) -> createDaemonThread(task, "intents"));
		this.ledger = new IntentLedger(
				new ObjectIntentStore(
						new HttpObjectStore(client, settings.platformAddress(), settings.platformTimeout())),
				RECORD_RETENTION);
		ServiceDirectory directory = new ServiceDirectory(configuration,
				(upstream) -> snapshot.get().leaving().contains(upstream));
		this.serviceCaller = new ServiceCaller(directory, new HttpServiceClient(client, PROBE_TIMEOUT, CALL_TIMEOUT),
				UpstreamPolicy.uniform(), this.ledger,
				new AtMostOnceProtocol(
						new AtMostOnceProtocol.Limits(MAX_CLAIM_AGE, MAX_ATTEMPT_DURATION, MAX_STORED_BODY_BYTES)),
				new ServiceCaller.Sources(() -> UUID.randomUUID().toString(), ThreadLocalRandom::current,
						MonotonicClock.system(), Clock.systemUTC()));
		this.handler = new ServiceHandler(configuration, directory, this.serviceCaller, this.callExecutor,
				settings.maxBodyBytes());
	}

	private static Thread createDaemonThread(Runnable task, String name) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		return thread;
	}

	ServiceHandler handler() {
		return this.handler;
	}

	void start() {
		this.maintenanceExecutor.scheduleWithFixedDelay(this::runMaintenance, MAINTENANCE_INTERVAL.toMillis(),
				MAINTENANCE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		this.maintenanceExecutor.scheduleWithFixedDelay(this::sweepRecords, SWEEP_INTERVAL.toMillis(),
				SWEEP_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	private void runMaintenance() {
		try {
			int tasks = 0;
			while (tasks < MAX_TASKS_PER_INTERVAL && this.ledger.runDueTask(this.serviceCaller.now())) {
				tasks++;
			}
		}
		catch (RuntimeException ex) {
			logger.error("maintenance of intent records failed", ex);
		}
		catch (Error ex) {
			this.supervisor.recordError(ex);
		}
	}

	private void sweepRecords() {
		try {
			// Daemons start at random positions to cover different records without
			// coordinating with each other.
			String after = String.format("%016x", ThreadLocalRandom.current().nextLong());
			this.ledger.sweep(after, this.serviceCaller.now().wallMillis());
		}
		catch (PeerException ex) {
			logger.debug("intent records cannot be swept: {}", ex.toString());
		}
		catch (RuntimeException ex) {
			logger.error("sweep of intent records failed", ex);
		}
		catch (Error ex) {
			this.supervisor.recordError(ex);
		}
	}

	@Override
	public void close() {
		this.maintenanceExecutor.shutdownNow();
		this.callExecutor.shutdownNow();
	}

}
