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
 * Measures the steps of another client. The samples are summed per engine until the
 * control thread takes them, so that it handles one batch per interval and not one event
 * per token. Thread-safe.
 */
public final class StepCollector implements StageClient {

	private final StageClient client;

	private final MonotonicClock clock;

	private final Map<String, StepSample> samples = new ConcurrentHashMap<>();

	/**
	 * Creates a collector.
	 * @param client runs the steps, not null
	 * @param clock the daemon's clock, not null
	 */
	public StepCollector(StageClient client, MonotonicClock clock) {
		this.client = Objects.requireNonNull(client, "client");
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	@Override
	public StepReply step(Stage stage, StepRequest request, Duration timeout) throws PeerException {
		long start = this.clock.nanos();
		StepReply reply = this.client.step(stage, request, timeout);
		long end = this.clock.nanos();
		this.samples.merge(stage.engine(), StepSample.of(reply.load(), end, (end - start) / 1000), StepSample::plus);
		return reply;
	}

	/**
	 * Takes the samples since the last call.
	 * @return the samples by engine, not null
	 */
	public Map<String, StepSample> take() {
		Map<String, StepSample> taken = new HashMap<>();
		for (String engine : this.samples.keySet()) {
			Optional.ofNullable(this.samples.remove(engine)).ifPresent((sample) -> taken.put(engine, sample));
		}
		return taken;
	}

}
