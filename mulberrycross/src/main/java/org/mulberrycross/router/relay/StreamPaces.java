package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mulberrycross.engine.EnginePath;
import org.mulberrycross.engine.EngineProfile;
import org.mulberrycross.engine.EngineSpeeds;

/**
 * Measures the pace of the streams in flight, so that slow engines are noticed without
 * asking them. Confined to the control thread; not thread-safe.
 */
final class StreamPaces {

	/** Time between two measurements; a stream sends several events in it. */
	private static final Duration PERIOD = Duration.ofMillis(250);

	/** Number of events over which a pace is measured at least. */
	private static final int MIN_EVENTS = 3;

	private final EngineSpeeds speeds = new EngineSpeeds();

	private final EngineSlowdowns slowdowns;

	private final Map<RelayAttempt, Progress> progressByAttempt = new HashMap<>();

	private long nextNanos;

	private boolean started;

	StreamPaces(EngineSlowdowns slowdowns) {
		this.slowdowns = slowdowns;
	}

	// Measures the streams in flight, if it is time to, and returns whether it was.
	boolean sample(List<RelayExchange> exchanges, Map<String, EngineProfile> profiles, long nowNanos) {
		if (this.started && nowNanos - this.nextNanos < 0) {
			return false;
		}
		this.started = true;
		this.nextNanos = nowNanos + PERIOD.toNanos();
		this.progressByAttempt.keySet()
			.removeIf((attempt) -> attempt.exchange().isFinished() || attempt.exchange().currentAttempt() != attempt);
		for (RelayExchange exchange : exchanges) {
			RelayAttempt attempt = exchange.currentAttempt();
			if (attempt == null || !attempt.hasBegun() || exchange.sentEvents() == 0) {
				continue;
			}
			EngineProfile profile = profiles.get(attempt.forwarding().upstream().service());
			attempt.forwarding()
				.path()
				.filter((path) -> profile != null)
				.ifPresent((path) -> sample(attempt, path, profile, nowNanos));
		}
		this.speeds.removeExpired(nowNanos);
		return true;
	}

	private void sample(RelayAttempt attempt, EnginePath path, EngineProfile profile, long nowNanos) {
		Progress current = new Progress(attempt.exchange().sentEvents(), attempt.lastActivityNanos());
		Progress previous = this.progressByAttempt.putIfAbsent(attempt, current);
		if (previous == null || current.events() - previous.events() < MIN_EVENTS) {
			return;
		}
		this.progressByAttempt.put(attempt, current);
		double millis = (current.atNanos() - previous.atNanos()) / (double) Duration.ofMillis(1).toNanos();
		this.speeds.record(attempt.exchange().call().id(), path, profile,
				millis / (current.events() - previous.events()), nowNanos);
		this.speeds.slowEngine(path, nowNanos)
			.filter((slow) -> slow.slowdown() > this.slowdowns.slowdown(slow.id(), nowNanos))
			.ifPresent((slow) -> this.slowdowns.record(slow.id(), slow.slowdown(), nowNanos));
	}

	/** The events of a stream so far, and when the last of them arrived. */
	private record Progress(long events, long atNanos) {

	}

}
