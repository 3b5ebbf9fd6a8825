package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

import org.mulberrycross.engine.LayerRange;

/**
 * The listed upstreams that take requests now: those that neither rest nor have used
 * their limit. Confined to the control thread; not thread-safe.
 */
final class EligibleUpstreams {

	private final UpstreamDirectory directory;

	private final UpstreamHealth health;

	private final UpstreamLimits limits;

	EligibleUpstreams(UpstreamDirectory directory, UpstreamHealth health, UpstreamLimits limits) {
		this.directory = Objects.requireNonNull(directory, "directory");
		this.health = Objects.requireNonNull(health, "health");
		this.limits = Objects.requireNonNull(limits, "limits");
	}

	// Returns the upstreams of a service, with the layers that they may run.
	List<DirectoryEntry> entries(String service, long nowNanos) {
		return this.directory.eligibleEntries(service)
			.stream()
			.filter((entry) -> this.health.untilRestEnds(entry.instance().id(), nowNanos).isEmpty())
			.flatMap((entry) -> this.limits.restrict(entry, nowNanos).stream())
			.toList();
	}

	// Returns why and until when no upstream takes a request, or empty if one does or if
	// it can still wait until then.
	Optional<Unavailability> unavailability(RelayExchange exchange, long nowNanos) {
		List<DirectoryEntry> candidates = exchange.rule()
			.services()
			.stream()
			.flatMap((service) -> this.directory.eligibleEntries(service.service()).stream())
			.filter(EligibleUpstreams::takesRequests)
			.toList();
		List<Unavailability> unavailable = candidates.stream()
			.flatMap((entry) -> unavailability(entry, nowNanos).stream())
			.toList();
		if (unavailable.size() < candidates.size()) {
			return Optional.empty();
		}
		return unavailable.stream()
			.min((left, right) -> left.remaining().compareTo(right.remaining()))
			.filter((first) -> !(first.isLimit() && mayWait(exchange, first.remaining(), nowNanos)));
	}

	private static boolean mayWait(RelayExchange exchange, Duration wait, long nowNanos) {
		Duration longest = exchange.rule().targetLatency().dividedBy(WaitingRequests.TARGET_LATENCY_WAIT_DIVISOR);
		return exchange.age(nowNanos).plus(wait).compareTo(longest) < 0;
	}

	private Optional<Unavailability> unavailability(DirectoryEntry entry, long nowNanos) {
		Optional<Unavailability> rest = this.health.untilRestEnds(entry.instance().id(), nowNanos)
			.map((remaining) -> new Unavailability(remaining, false));
		Optional<Unavailability> limit = this.limits.untilRoom(entry.instance(), nowNanos)
			.map((remaining) -> new Unavailability(remaining, true));
		return Stream.of(rest, limit)
			.flatMap(Optional::stream)
			.max((left, right) -> left.remaining().compareTo(right.remaining()));
	}

	// Returns whether requests are sent to an upstream itself: to an instance of a plain
	// service, or to an engine that holds the first layers.
	private static boolean takesRequests(DirectoryEntry entry) {
		return entry.engine()
			.map((engine) -> engine.layers().map(LayerRange::first).equals(Optional.of(0)))
			.orElse(true);
	}

	/**
	 * Why and for how long an upstream takes no requests.
	 *
	 * @param remaining the expected time until it takes one
	 * @param isLimit whether its limit is used, as opposed to a rest
	 */
	record Unavailability(Duration remaining, boolean isLimit) {

		String reason() {
			return this.isLimit ? "all upstreams are at their request limits" : "all upstreams asked for a rest";
		}

	}

}
