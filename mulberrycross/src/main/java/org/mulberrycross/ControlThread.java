package org.mulberrycross;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Single thread that owns all control state of a daemon. Traffic threads submit events to
 * it and read the immutable snapshots that it publishes. The queue of new work is
 * bounded, and new work is refused while it is full; events about accepted work are never
 * refused. An {@link Error} ends one event only; see {@link Supervisor}. Thread-safe.
 */
public final class ControlThread implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(ControlThread.class);

	private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

	private final ScheduledExecutorService executor;

	private final Semaphore offerPermits;

	/** Used by the thread only. */
	private final Supervisor supervisor;

	private volatile Thread thread;

	/**
	 * Creates a control thread. The thread itself starts with the first event.
	 * @param name the name of the thread, not null
	 * @param maxQueuedOffers the maximum number of offered events that are queued, at
	 * least 1
	 */
	public ControlThread(String name, int maxQueuedOffers) {
		Objects.requireNonNull(name, "name");
		if (maxQueuedOffers < 1) {
			throw new IllegalArgumentException("maxQueuedOffers " + maxQueuedOffers + " is less than 1");
		}
		this.supervisor = new Supervisor(name);
		this.offerPermits = new Semaphore(maxQueuedOffers);
		this.executor = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread created = Supervisor.newThread(name, task);
			this.thread = created;
			return created;
		});
	}

	/**
	 * Queues an event that brings new work, unless the queue of new work is full.
	 * @param event the event, not null; runs on the control thread and must not block
	 * @return false if the queue is full and the event will not run
	 */
	public boolean offer(Runnable event) {
		Objects.requireNonNull(event, "event");
		if (!this.offerPermits.tryAcquire()) {
			return false;
		}
		this.executor.execute(() -> {
			this.offerPermits.release();
			runEvent(event);
		});
		return true;
	}

	/**
	 * Queues an event that updates or ends accepted work. These events need no bound of
	 * their own, since the accepted work limits their number.
	 * @param event the event, not null; runs on the control thread and must not block
	 */
	public void post(Runnable event) {
		Objects.requireNonNull(event, "event");
		this.executor.execute(() -> runEvent(event));
	}

	/**
	 * Runs an event periodically until this thread is closed.
	 * @param period the delay before the first run and between the end of one run and the
	 * start of the next, positive
	 * @param event the event, not null; must not block
	 */
	public void scheduleWithFixedDelay(Duration period, Runnable event) {
		Objects.requireNonNull(event, "event");
		this.executor.scheduleWithFixedDelay(() -> runEvent(event), period.toNanos(), period.toNanos(),
				TimeUnit.NANOSECONDS);
	}

	/**
	 * Checks that the calling thread is the control thread.
	 * @throws IllegalStateException if it is another thread
	 */
	public void assertOnControlThread() {
		if (Thread.currentThread() != this.thread) {
			throw new IllegalStateException("control state accessed on thread " + Thread.currentThread().getName());
		}
	}

	private void runEvent(Runnable event) {
		try {
			event.run();
		}
		catch (RuntimeException ex) {
			logger.error("control event failed", ex);
		}
		catch (Error ex) {
			this.supervisor.recordError(ex);
		}
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
		try {
			this.executor.awaitTermination(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
