package org.mulberrycross.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.PeerException;

/**
 * Client that measures the steps of another client. It sums the measurements per engine
 * until they are drained, so that the control thread handles one batch per interval and
 * not one event per token. Thread-safe.
 */
public final class StepCollector implements StageClient {

	private final StageClient delegate;

	private final MonotonicClock clock;

	private final Map<String, StepSample> samples = new ConcurrentHashMap<>();

	/**
	 * Creates a collector.
	 * @param delegate runs the steps, not null
	 * @param clock the daemon's clock, not null
	 */
	public StepCollector(StageClient delegate, MonotonicClock clock) {
		this.delegate = Objects.requireNonNull(delegate, "delegate");
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	@Override
	public StepReply step(Stage stage, StepRequest request, Duration timeout) throws PeerException {
		long startNanos = this.clock.nanos();
		StepReply reply = this.delegate.step(stage, request, timeout);
		long endNanos = this.clock.nanos();
		this.samples.merge(stage.engine(), StepSample.of(reply.load(), endNanos, (endNanos - startNanos) / 1000),
				StepSample::plus);
		return reply;
	}

	/**
	 * Removes and returns the samples collected since the last call.
	 * @return the samples by the name of the engine, not null
	 */
	public Map<String, StepSample> drainSamples() {
		Map<String, StepSample> drained = new HashMap<>();
		for (String engine : this.samples.keySet()) {
			Optional.ofNullable(this.samples.remove(engine)).ifPresent((sample) -> drained.put(engine, sample));
		}
		return drained;
	}

}
