package org.mulberrycross.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Learns from the pace of streams which engines are slower than their kind. A stream on a
 * path gives an upper bound for each of its engines: as if that engine alone caused all
 * of the stream's delay. An engine is as slow as the lowest of its recent bounds, so that
 * one sound stream clears it, and engines that share paths with a slow one are not blamed
 * for it. The pace is compared with that of other streams, so that neither the load of
 * the fleet nor the unknown tokens of an event matter. Confined to the control thread;
 * not thread-safe.
 */
public final class EngineSpeeds {

	/**
	 * Lower factors are within the variation that load and prompts of others cause: on a
	 * loaded fleet, sound engines showed factors up to 3.8.
	 */
	private static final double MIN_SLOWDOWN = 4;

	/** How much slower than the next engine of its path an engine must be. */
	private static final double MIN_LEAD = 1.5;

	/** Age from which a bound says nothing about the present. */
	private static final Duration MAX_AGE = Duration.ofSeconds(2);

	/** Bounds kept by engine. */
	private static final int MAX_BOUNDS = 16;

	/** Number of streams that must agree that an engine is slow. */
	private static final int MIN_STREAMS = 2;

	/** Number of recent paces of all streams from which the usual pace is taken. */
	private static final int MAX_PACES = 64;

	/** Number of paces below which nothing is unusual. */
	private static final int MIN_PACES = 8;

	private final Deque<Double> recentPaces = new ArrayDeque<>();

	private final Map<String, Deque<Bound>> boundsByEngine = new HashMap<>();

	/**
	 * Records the pace of a stream.
	 * @param streamId the id of the request, not null
	 * @param path the path that the stream runs on, not null
	 * @param profile the model, not null
	 * @param millisPerEvent the mean time between events, in milliseconds
	 * @param nowNanos the time on the daemon's monotonic clock
	 */
	public void record(String streamId, EnginePath path, EngineProfile profile, double millisPerEvent, long nowNanos) {
		Objects.requireNonNull(streamId, "streamId");
		double pathMillis = path.stages().stream().mapToDouble((stage) -> stageMillis(stage, profile)).sum();
		if (!(pathMillis > 0) || !(millisPerEvent > 0)) {
			return;
		}
		double pace = millisPerEvent / pathMillis;
		OptionalDouble usualPace = usualPace();
		addBounded(this.recentPaces, pace, MAX_PACES);
		if (usualPace.isEmpty()) {
			return;
		}
		double excess = Math.max(0, pace / usualPace.getAsDouble() - 1);
		for (PathStage stage : path.stages()) {
			double share = stageMillis(stage, profile) / pathMillis;
			double slowdown = 1 + excess / Math.max(share, Double.MIN_NORMAL);
			addBounded(this.boundsByEngine.computeIfAbsent(stage.engine().id(), (id) -> new ArrayDeque<>()),
					new Bound(streamId, slowdown, nowNanos), MAX_BOUNDS);
		}
	}

	/**
	 * Returns the engine of a path that makes its streams slow. Nothing is said while
	 * several engines of the path could be the cause, as those that always run together.
	 * @param path the path, not null
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return the engine and the factor by which it is slower than its kind, or empty if
	 * none is known to be slow
	 */
	public Optional<SlowEngine> slowEngine(EnginePath path, long nowNanos) {
		List<SlowEngine> slowest = path.stages()
			.stream()
			.map((stage) -> new SlowEngine(stage.engine().id(), slowdown(stage.engine().id(), nowNanos)))
			.sorted(Comparator.comparingDouble(SlowEngine::slowdown).reversed())
			.limit(2)
			.toList();
		double first = slowest.get(0).slowdown();
		double second = (slowest.size() > 1) ? slowest.get(1).slowdown() : 1;
		return (first >= MIN_SLOWDOWN && first >= MIN_LEAD * second) ? Optional.of(slowest.get(0)) : Optional.empty();
	}

	// Returns the lowest recent bound of an engine, 1 without enough streams.
	private double slowdown(String engineId, long nowNanos) {
		Deque<Bound> bounds = this.boundsByEngine.get(engineId);
		if (bounds == null) {
			return 1;
		}
		bounds.removeIf((bound) -> nowNanos - bound.atNanos() > MAX_AGE.toNanos());
		long streams = bounds.stream().map(Bound::streamId).distinct().count();
		return (streams >= MIN_STREAMS) ? bounds.stream().mapToDouble(Bound::slowdown).min().orElse(1) : 1;
	}

	/**
	 * Forgets engines without recent streams.
	 * @param nowNanos the time on the daemon's monotonic clock
	 */
	public void removeExpired(long nowNanos) {
		this.boundsByEngine.values()
			.removeIf((bounds) -> bounds.isEmpty() || nowNanos - bounds.getLast().atNanos() > MAX_AGE.toNanos());
	}

	private static double stageMillis(PathStage stage, EngineProfile profile) {
		return profile.kind(stage.engine()).map(AcceleratorKind::stepFactor).orElse(0.0) * stage.layers().size();
	}

	// Returns the median of the recent paces, empty while there are few.
	private OptionalDouble usualPace() {
		if (this.recentPaces.size() < MIN_PACES) {
			return OptionalDouble.empty();
		}
		return this.recentPaces.stream()
			.mapToDouble(Double::doubleValue)
			.sorted()
			.skip(this.recentPaces.size() / 2)
			.findFirst();
	}

	private static <T> void addBounded(Deque<T> values, T value, int limit) {
		if (values.size() >= limit) {
			values.removeFirst();
		}
		values.addLast(value);
	}

	/**
	 * An engine that is slower than its kind.
	 *
	 * @param id the id of the engine, not null
	 * @param slowdown the factor by which it is slower
	 */
	public record SlowEngine(String id, double slowdown) {

	}

	/**
	 * Highest factor that a stream permits for an engine.
	 *
	 * @param streamId the id of the request
	 * @param slowdown the factor
	 * @param atNanos the time of the observation
	 */
	private record Bound(String streamId, double slowdown, long atNanos) {

	}

}
