package org.mulberrycross;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a long-lived thread or a periodic task going after an {@link Error}, such as an
 * exhausted heap, and ends the process when the errors go on: a process that is started
 * again is better than one that no longer follows its state. Used by one thread.
 */
public final class Supervisor {

	private static final Logger logger = LoggerFactory.getLogger(Supervisor.class);

	/** Time for which a task may fail again and again before the process ends. */
	static final Duration MAX_FAILING_TIME = Duration.ofSeconds(10);

	/** Time without an error after which the next one counts as the first. */
	static final Duration RECOVERY_TIME = Duration.ofSeconds(5);

	/** Minimum time between two log lines about errors of a task. */
	private static final Duration LOG_PERIOD = Duration.ofSeconds(1);

	private static final int EXIT_FAILURE = 1;

	private static final AtomicBoolean ending = new AtomicBoolean();

	private final String task;

	private final MonotonicClock clock;

	private final Consumer<String> processEnd;

	private OptionalLong firstErrorNanos = OptionalLong.empty();

	private long lastErrorNanos;

	private OptionalLong loggedNanos = OptionalLong.empty();

	private long unloggedErrors;

	/**
	 * Creates a supervisor that ends this process if errors go on.
	 * @param task the name of the task in log lines, not null
	 */
	public Supervisor(String task) {
		this(task, MonotonicClock.system(), Supervisor::endProcess);
	}

	// The consumer receives the reason for which the process ends.
	Supervisor(String task, MonotonicClock clock, Consumer<String> processEnd) {
		this.task = Objects.requireNonNull(task, "task");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.processEnd = Objects.requireNonNull(processEnd, "processEnd");
	}

	/**
	 * Creates a Java daemon thread that does not end in silence: if the task throws
	 * anything, the process ends with a log line.
	 * @param name the name of the thread, not null
	 * @param task the task, not null
	 * @return the thread, not started
	 */
	public static Thread newThread(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.setUncaughtExceptionHandler((failed, error) -> endProcess("thread " + name + " ended: " + error));
		return thread;
	}

	/**
	 * Runs one round of the task. A {@link RuntimeException} or an {@link Error} is
	 * logged and ends this round only.
	 * @param round the round, not null
	 * @return false if the round failed; the caller must pause before the next one
	 * @throws InterruptedException if the round was interrupted
	 */
	public boolean run(Round round) throws InterruptedException {
		try {
			round.run();
			return true;
		}
		catch (RuntimeException ex) {
			logger.atError().addKeyValue("task", this.task).setCause(ex).log("task failed, going on");
		}
		catch (Error ex) {
			recordError(ex);
		}
		return false;
	}

	/**
	 * Records that the task failed with an error and goes on. Logs at most one line a
	 * second, and ends the process if errors have come for ten seconds without a break of
	 * five. A log line that can't be written, since the heap is exhausted, is left out.
	 * @param error the error, not null
	 */
	public void recordError(Error error) {
		long nowNanos = this.clock.nanos();
		if (this.firstErrorNanos.isEmpty() || nowNanos - this.lastErrorNanos >= RECOVERY_TIME.toNanos()) {
			this.firstErrorNanos = OptionalLong.of(nowNanos);
		}
		this.lastErrorNanos = nowNanos;
		try {
			logError(error, nowNanos);
		}
		catch (RuntimeException | Error ex) {
			this.unloggedErrors++;
		}
		if (nowNanos - this.firstErrorNanos.getAsLong() >= MAX_FAILING_TIME.toNanos()) {
			this.processEnd.accept("task " + this.task + " keeps failing: " + error);
		}
	}

	private void logError(Error error, long nowNanos) {
		if (this.loggedNanos.isPresent() && nowNanos - this.loggedNanos.getAsLong() < LOG_PERIOD.toNanos()) {
			this.unloggedErrors++;
			return;
		}
		logger.atError()
			.addKeyValue("task", this.task)
			.addKeyValue("unlogged_errors", this.unloggedErrors)
			.setCause(error)
			.log("task failed with an error, going on");
		this.loggedNanos = OptionalLong.of(nowNanos);
		this.unloggedErrors = 0;
	}

	// Lets the shutdown hooks run on a thread of their own, since one of them may wait
	// for the failed one.
	private static void endProcess(String reason) {
		if (!ending.compareAndSet(false, true)) {
			return;
		}
		try {
			logger.atError().addKeyValue("reason", reason).log("process ends, since it can't go on");
			Thread exit = new Thread(() -> System.exit(EXIT_FAILURE), "exit");
			exit.setDaemon(true);
			exit.start();
		}
		catch (RuntimeException | Error ex) {
			Runtime.getRuntime().halt(EXIT_FAILURE);
		}
	}

	/** One round of a task. */
	@FunctionalInterface
	public interface Round {

		/**
		 * Runs the round.
		 * @throws InterruptedException if the thread is interrupted
		 */
		void run() throws InterruptedException;

	}

}
