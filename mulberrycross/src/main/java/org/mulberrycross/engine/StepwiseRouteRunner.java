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
 * Runs a stream by one step per stage and token, driven from this process. The output of
 * each stage is the input of the next. A stage that makes no progress is probed and
 * replaced, and the stream goes on at the next position. Thread-safe.
 */
public final class StepwiseRouteRunner implements RouteRunner {

	private static final Logger logger = LoggerFactory.getLogger(StepwiseRouteRunner.class);

	private final StageCalls calls;

	private final StepTimeouts timeouts;

	private final RecoveryLimits limits;

	private final EngineLoads loads;

	private final RecoveryListener listener;

	private final MonotonicClock clock;

	private final Executor cancels;

	/**
	 * Creates a runner.
	 * @param calls the calls to engines, not null
	 * @param timeouts the bounds on the wait for a step, not null
	 * @param limits the bounds on recovery, not null
	 * @param loads tells the load of engines before their first reply, not null
	 * @param listener learns of losses and replacements, not null
	 * @param clock the daemon's clock, not null
	 * @param cancels runs cancel calls, so that a stream does not wait for them, not null
	 */
	public StepwiseRouteRunner(StageCalls calls, StepTimeouts timeouts, RecoveryLimits limits, EngineLoads loads,
			RecoveryListener listener, MonotonicClock clock, Executor cancels) {
		this.calls = Objects.requireNonNull(calls, "calls");
		this.timeouts = Objects.requireNonNull(timeouts, "timeouts");
		this.limits = Objects.requireNonNull(limits, "limits");
		this.loads = Objects.requireNonNull(loads, "loads");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.cancels = Objects.requireNonNull(cancels, "cancels");
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

	Duration timeout(StageProgress progress, int positions) {
		Optional<EngineLoad> load = progress.load().or(() -> this.loads.load(progress.stage().engine()));
		return this.timeouts.timeout(load, positions);
	}

	void cancel(Stage stage, String stream, int attempt) {
		this.cancels.execute(() -> {
			try {
				this.calls.cancel().cancel(stage, stream, attempt, this.limits.cancelTimeout());
			}
			catch (PeerException ex) {
				logger.debug("stream {} not cancelled on {}: {}", stream, stage.engine(), ex.toString());
			}
		});
	}

}
