package org.mulberrycross.engine;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.Executor;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.PeerException;

/**
 * Runs streams by calling each stage for each token from this process, with the output of
 * a stage as the input of the next. An engine that does not reply in time, or refuses a
 * step, is probed and, if necessary, replaced; the stream then continues at the same
 * position. Thread-safe.
 */
public final class StepwiseRouteRunner implements RouteRunner {

	private static final Logger logger = LoggerFactory.getLogger(StepwiseRouteRunner.class);

	private final StageCalls calls;

	private final StepTimeouts timeouts;

	private final RecoveryLimits limits;

	private final EngineLoads loads;

	private final RecoveryListener listener;

	private final MonotonicClock clock;

	private final Executor cancelExecutor;

	/**
	 * Creates a runner.
	 * @param calls the calls to engines, not null
	 * @param timeouts computes the timeouts of steps, not null
	 * @param limits the limits on recovery, not null
	 * @param loads provides the load of engines before their first reply, not null
	 * @param listener receives the events of recovering streams, not null
	 * @param clock the daemon's clock, not null
	 * @param cancelExecutor runs cancel calls, not null; should be asynchronous, since
	 * streams need not wait for them
	 */
	public StepwiseRouteRunner(StageCalls calls, StepTimeouts timeouts, RecoveryLimits limits, EngineLoads loads,
			RecoveryListener listener, MonotonicClock clock, Executor cancelExecutor) {
		this.calls = Objects.requireNonNull(calls, "calls");
		this.timeouts = Objects.requireNonNull(timeouts, "timeouts");
		this.limits = Objects.requireNonNull(limits, "limits");
		this.loads = Objects.requireNonNull(loads, "loads");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.cancelExecutor = Objects.requireNonNull(cancelExecutor, "cancelExecutor");
	}

	@Override
	public void run(StreamRequest request, Route route, StageReplacement replacement, TokenSink sink)
			throws PeerException {
		new StreamRun(this, request, route, replacement).run(sink);
	}

	StageCalls calls() {
		return this.calls;
	}

	RecoveryLimits limits() {
		return this.limits;
	}

	RecoveryListener listener() {
		return this.listener;
	}

	long nanos() {
		return this.clock.nanos();
	}

	Duration stepTimeout(StageProgress progress, int positions) {
		Optional<EngineLoad> load = progress.load().or(() -> this.loads.load(progress.stage().engine()));
		return this.timeouts.timeout(load, positions);
	}

	void cancel(Stage stage, String stream, int attempt) {
		this.cancelExecutor.execute(() -> {
			try {
				this.calls.cancel().cancel(stage, stream, attempt, this.limits.cancelTimeout());
			}
			catch (PeerException ex) {
				logger.debug("cannot cancel stream {} on engine {}: {}", stream, stage.engine(), ex.toString());
			}
		});
	}

}
