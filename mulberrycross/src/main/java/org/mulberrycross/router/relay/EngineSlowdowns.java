package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The engines that reported to be slower than their kind, with the factor. A report is
 * used for a limited time, since slow engines get few requests that would show their
 * recovery. Confined to the control thread; not thread-safe.
 */
final class EngineSlowdowns {

	private static final Logger logger = LoggerFactory.getLogger(EngineSlowdowns.class);

	/** Reported factors below this are within the variation of sound engines. */
	private static final double MIN_SLOWDOWN = 1.25;

	/** Time for which a report is used. */
	private static final Duration VALIDITY = Duration.ofSeconds(4);

	/** Age from which a report is refreshed, with time left for a second probe. */
	static final Duration REFRESH_AGE = Duration.ofMillis(3200);

	private final Map<String, Reading> readings = new HashMap<>();

	// Records a reported factor. Factors of sound engines are not kept.
	void record(String id, double slowdown, long nowNanos) {
		boolean slow = slowdown >= MIN_SLOWDOWN;
		boolean wasSlow = (slow ? this.readings.put(id, new Reading(slowdown, nowNanos))
				: this.readings.remove(id)) != null;
		if (slow != wasSlow) {
			logger.atInfo()
				.addKeyValue("upstream", id)
				.addKeyValue("slowdown", slowdown)
				.log(slow ? "engine is slow" : "engine is no longer slow");
		}
	}

	// Returns the factor by which an engine is slower than its kind, 1 if not known.
	double slowdown(String id, long nowNanos) {
		Reading reading = this.readings.get(id);
		return (reading != null && nowNanos - reading.atNanos() < VALIDITY.toNanos()) ? reading.slowdown() : 1;
	}

	// Returns the factors of all slow engines by id.
	Map<String, Double> current(long nowNanos) {
		return this.readings.keySet()
			.stream()
			.filter((id) -> slowdown(id, nowNanos) > 1)
			.collect(Collectors.toMap(Function.identity(), (id) -> slowdown(id, nowNanos)));
	}

	// Returns the engines whose report should be refreshed before it expires. Engines
	// whose report has expired are forgotten.
	List<String> dueForRefresh(long nowNanos) {
		if (this.readings.isEmpty()) {
			return List.of();
		}
		this.readings.values().removeIf((reading) -> nowNanos - reading.atNanos() >= VALIDITY.toNanos());
		return this.readings.entrySet()
			.stream()
			.filter((entry) -> nowNanos - entry.getValue().atNanos() >= REFRESH_AGE.toNanos())
			.map(Map.Entry::getKey)
			.toList();
	}

	/** A factor and the monotonic time of its report in nanoseconds. */
	private record Reading(double slowdown, long atNanos) {

	}

}
