package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.Address;
import org.mulberrycross.engine.EngineInstance;

/**
 * Records which upstream turned a request away, and why. Confined to the control thread;
 * not thread-safe.
 */
final class UpstreamRejections {

	/**
	 * A rejection within this time means that the engine is saturated; a dead engine is
	 * reported only after a longer silence.
	 */
	private static final Duration MAX_SATURATION_REPLY_TIME = Duration.ofMillis(700);

	private final UpstreamDirectory directory;

	private final UpstreamSelector selector;

	private final UpstreamHealth health;

	private final RequestLog requestLog;

	UpstreamRejections(UpstreamDirectory directory, UpstreamSelector selector, UpstreamHealth health,
			RequestLog requestLog) {
		this.directory = Objects.requireNonNull(directory, "directory");
		this.selector = Objects.requireNonNull(selector, "selector");
		this.health = Objects.requireNonNull(health, "health");
		this.requestLog = Objects.requireNonNull(requestLog, "requestLog");
	}

	// Ejects the engine that caused the rejection, or the upstream if no engine is named.
	// An engine that was sent layers that it does not hold is not merely saturated: its
	// entry is outdated until it publishes a new one.
	void record(RelayAttempt attempt, UpstreamResponseHead upstreamHead, String reason, long nowNanos) {
		String id = upstreamHead.faultyEngine()
			.flatMap((address) -> findFaultyEngine(attempt, address))
			.orElse(attempt.forwarding().upstream().id());
		attempt.exchange().failedUpstreams().add(id);
		this.requestLog.logRejected(attempt.exchange(), id, reason);
		if (attempt.forwarding().path().isPresent() && !upstreamHead.misdirected()
				&& nowNanos - attempt.startedNanos() < MAX_SATURATION_REPLY_TIME.toNanos()) {
			this.selector.recordNoRoom(attempt, id, nowNanos);
			return;
		}
		this.health.recordFailure(id, reason, nowNanos);
	}

	// Returns the engine of the attempt's path at an address. The directory may already
	// list the next instance there.
	private Optional<String> findFaultyEngine(RelayAttempt attempt, Address address) {
		return attempt.forwarding()
			.path()
			.flatMap((path) -> path.engineAt(address))
			.map(EngineInstance::id)
			.or(() -> this.directory.findByAddress(attempt.forwarding().upstream().service(), address)
				.map((entry) -> entry.instance().id()));
	}

}
