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
 * The single thread that owns all control state of a daemon. Traffic threads hand events
 * to it and read the immutable snapshots that it publishes. New work is bounded and is
 * refused when the bound is reached; the completion of work that was accepted is never
 * refused. Thread-safe.
 */
public final class ControlThread implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(ControlThread.class);

	private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

	private final ScheduledExecutorService executor;

	private final Semaphore newWork;

	private volatile Thread thread;

	/**
	 * Starts the thread.
	 * @param name the name of the thread, not null
	 * @param newWorkLimit the number of offered events that may wait at the same time, at
	 * least 1
	 */
	public ControlThread(String name, int newWorkLimit) {
		Objects.requireNonNull(name, "name");
		if (newWorkLimit < 1) {
			throw new IllegalArgumentException("newWorkLimit " + newWorkLimit + " is less than 1");
		}
		this.newWork = new Semaphore(newWorkLimit);
		this.executor = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread created = new Thread(task, name);
			created.setDaemon(true);
			this.thread = created;
			return created;
		});
	}

	/**
	 * Offers an event that brings new work.
	 * @param event the event, not null; runs on the control thread and must not block
	 * @return false if the bound is reached and the event was refused
	 */
	public boolean offer(Runnable event) {
		Objects.requireNonNull(event, "event");
		if (!this.newWork.tryAcquire()) {
			return false;
		}
		this.executor.execute(() -> {
			this.newWork.release();
			run(event);
		});
		return true;
	}

	/**
	 * Posts an event that ends or updates accepted work. The number of these events is
	 * bounded by the work that was accepted.
	 * @param event the event, not null; runs on the control thread and must not block
	 */
	public void post(Runnable event) {
		Objects.requireNonNull(event, "event");
		this.executor.execute(() -> run(event));
	}

	/**
	 * Runs an event at a fixed rate until this thread is closed.
	 * @param period the period, positive
	 * @param event the event, not null; must not block
	 */
	public void every(Duration period, Runnable event) {
		Objects.requireNonNull(event, "event");
		this.executor.scheduleWithFixedDelay(() -> run(event), period.toNanos(), period.toNanos(),
				TimeUnit.NANOSECONDS);
	}

	/**
	 * Asserts that the caller runs on the control thread.
	 * @throws IllegalStateException if it does not
	 */
	public void assertCurrent() {
		if (Thread.currentThread() != this.thread) {
			throw new IllegalStateException("control state touched on thread " + Thread.currentThread().getName());
		}
	}

	private void run(Runnable event) {
		try {
			event.run();
		}
		catch (RuntimeException ex) {
			logger.error("control event failed", ex);
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
