package org.mulberrycross.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the time until the first event on a path: the prefill of all tokens so far
 * and one decode step at the speed of the path's accelerators, and the usual rest, which
 * is learned for each service from observed first events (queues, transfers and
 * connections). Confined to the control thread; not thread-safe.
 */
public final class RestartTimes {

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final Map<String, StreamPace> restByService = new HashMap<>();

	/**
	 * Records an observed first event.
	 * @param profile the model and its engines, not null
	 * @param path the path, not null
	 * @param tokens the tokens that the path had to read
	 * @param observed the time from sending to the first event, not null
	 */
	public void record(EngineProfile profile, EnginePath path, double tokens, Duration observed) {
		this.restByService.put(service(path),
				rest(path).withPause(Math.max(0, observed.toNanos() - unqueuedNanos(profile, path, tokens))));
	}

	/**
	 * Estimates the time until the first event.
	 * @param profile the model and its engines, not null
	 * @param path the path, not null
	 * @param tokens the tokens that the path has to read
	 * @return the estimate
	 */
	public RestartEstimate estimate(EngineProfile profile, EnginePath path, double tokens) {
		StreamPace rest = rest(path);
		return new RestartEstimate(unqueuedNanos(profile, path, tokens) + rest.meanNanos(), rest.deviationNanos());
	}

	private StreamPace rest(EnginePath path) {
		return this.restByService.getOrDefault(service(path), StreamPace.initial());
	}

	private static String service(EnginePath path) {
		return path.firstEngine().upstream().service();
	}

	private static double unqueuedNanos(EngineProfile profile, EnginePath path, double tokens) {
		double millis = 0;
		for (PathStage stage : path.stages()) {
			double stepFactor = profile.kind(stage.engine()).map(AcceleratorKind::stepFactor).orElse(1.0);
			double prefillFactor = profile.kind(stage.engine()).map(AcceleratorKind::prefillFactor).orElse(1.0);
			millis += stage.layers().size()
					* (tokens / profile.prefillTokensPerMillis() * prefillFactor + profile.stepMillis() * stepFactor)
					/ profile.layers();
		}
		return millis * NANOS_PER_MILLI;
	}

}
