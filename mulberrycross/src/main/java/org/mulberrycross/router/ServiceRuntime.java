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
import org.mulberrycross.caller.http.ServiceHandler;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.platform.http.HttpObjectStore;
import org.mulberrycross.service.CallProtocol;
import org.mulberrycross.service.IntentLedger;
import org.mulberrycross.service.ServiceCaller;
import org.mulberrycross.service.ServiceDirectory;
import org.mulberrycross.service.ServicePolicy;
import org.mulberrycross.service.http.HttpServiceClient;

/**
 * Calls to plain services of one daemon, with their threads. Thread-safe.
 */
final class ServiceRuntime implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(ServiceRuntime.class);

	/** Blocked calls use threads, so a slow service must not take those of streams. */
	private static final int CALL_THREADS = 64;

	private static final int MAX_WAITING_CALLS = 256;

	private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration CALL_TIMEOUT = Duration.ofSeconds(10);

	/** Callers may retry a key for a day; see docs/decisions/0003-intent-ledger.md. */
	private static final Duration RETENTION = Duration.ofHours(24);

	private static final Duration MAX_CLAIM_AGE = Duration.ofSeconds(30);

	/** The longest time that an attempt normally takes: claim, probes and call. */
	private static final Duration IN_PROGRESS = Duration.ofSeconds(45);

	private static final int MAX_STORED_BODY_BYTES = 64 << 10;

	private static final Duration MAINTENANCE_INTERVAL = Duration.ofSeconds(1);

	/** Leaves most of the store's rate to calls after an outage. */
	private static final int MAX_TASKS_PER_INTERVAL = 20;

	/** With 330 daemons this is under 6 reads a second. */
	private static final Duration SWEEP_INTERVAL = Duration.ofMinutes(1);

	private final ThreadPoolExecutor calls;

	private final ScheduledExecutorService maintenance;

	private final IntentLedger ledger;

	private final ServiceCaller caller;

	private final ServiceHandler handler;

	ServiceRuntime(Supplier<ControlSnapshot> snapshot, HttpClient client, RouterSettings settings) {
		Supplier<Configuration> configuration = () -> snapshot.get().configuration();
		this.calls = new ThreadPoolExecutor(CALL_THREADS, CALL_THREADS, 30, TimeUnit.SECONDS,
				new ArrayBlockingQueue<>(MAX_WAITING_CALLS), (task) -> thread(task, "service-call"));
		this.calls.allowCoreThreadTimeOut(true);
		this.maintenance = Executors.newSingleThreadScheduledExecutor((task) -> thread(task, "intents"));
		this.ledger = new IntentLedger(
				new ObjectIntentStore(new HttpObjectStore(client, settings.platform(), settings.platformTimeout())),
				RETENTION);
		ServiceDirectory directory = new ServiceDirectory(configuration,
				(upstream) -> snapshot.get().leaving().contains(upstream));
		this.caller = new ServiceCaller(directory, new HttpServiceClient(client, PROBE_TIMEOUT, CALL_TIMEOUT),
				ServicePolicy.uniform(), this.ledger,
				new CallProtocol(new CallProtocol.Limits(MAX_CLAIM_AGE, IN_PROGRESS, MAX_STORED_BODY_BYTES)),
				new ServiceCaller.Sources(() -> UUID.randomUUID().toString(), ThreadLocalRandom::current,
						MonotonicClock.system(), Clock.systemUTC()));
		this.handler = new ServiceHandler(configuration, directory, this.caller, this.calls, settings.maxBodyBytes());
	}

	private static Thread thread(Runnable task, String name) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		return thread;
	}

	ServiceHandler handler() {
		return this.handler;
	}

	void start() {
		this.maintenance.scheduleWithFixedDelay(this::maintain, MAINTENANCE_INTERVAL.toMillis(),
				MAINTENANCE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		this.maintenance.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL.toMillis(), SWEEP_INTERVAL.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	private void maintain() {
		try {
			int done = 0;
			while (done < MAX_TASKS_PER_INTERVAL && this.ledger.maintain(this.caller.now())) {
				done++;
			}
		}
		catch (RuntimeException ex) {
			logger.error("background work on intent records failed", ex);
		}
	}

	private void sweep() {
		try {
			// A random start spreads the daemons over the records without agreement.
			String after = String.format("%016x", ThreadLocalRandom.current().nextLong());
			this.ledger.sweep(after, this.caller.now().millis());
		}
		catch (PeerException ex) {
			logger.debug("intent records cannot be swept: {}", ex.toString());
		}
		catch (RuntimeException ex) {
			logger.error("sweep of intent records failed", ex);
		}
	}

	@Override
	public void close() {
		this.maintenance.shutdownNow();
		this.calls.shutdownNow();
	}

}
