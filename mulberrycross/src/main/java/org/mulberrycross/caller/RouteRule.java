package org.mulberrycross.caller;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * One route of the configuration. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param host the host that it serves, not null
 * @param pathPrefix the prefix of the paths that it serves, not null
 * @param kind what its requests allow, not null
 * @param timeout the longest time from the arrival of a request to the end of its answer,
 * not null
 * @param objective the time within which an answer, or its first event, is on time, not
 * null
 * @param maxRuns the number of upstreams on which a request may run, at least 1
 * @param priority the rank, 0 for the most urgent
 * @param anonymous whether requests need no key
 * @param resumable whether a stream may go on at another upstream after its last event
 * @param services the services that share the requests, not empty
 */
public record RouteRule(String name, String host, String pathPrefix, RouteKind kind, Duration timeout,
		Duration objective, int maxRuns, int priority, boolean anonymous, boolean resumable,
		List<WeightedService> services) {

	/**
	 * Creates a route.
	 * @param name the name, not null
	 * @param host the host that it serves, not null
	 * @param pathPrefix the prefix of the paths that it serves, not null
	 * @param kind what its requests allow, not null
	 * @param timeout the longest time to the end of an answer, not null
	 * @param objective the time within which an answer is on time, not null
	 * @param maxRuns the number of upstreams on which a request may run
	 * @param priority the rank
	 * @param anonymous whether requests need no key
	 * @param resumable whether a stream may go on at another upstream
	 * @param services the services that share the requests, not empty
	 */
	public RouteRule {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(timeout, "timeout");
		Objects.requireNonNull(objective, "objective");
		services = List.copyOf(services);
		if (services.isEmpty() || maxRuns < 1) {
			throw new IllegalArgumentException("route " + name + " has no service or allows no run");
		}
	}

	/**
	 * Returns whether a request may run more than once.
	 * @return true for idempotent requests and for streams that may be resumed
	 */
	public boolean repeatable() {
		return this.kind == RouteKind.IDEMPOTENT || (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Chooses the service of a request in proportion to the weights.
	 * @param random the source of random numbers, not null
	 * @return the service, or empty if all weights are 0
	 */
	public Optional<String> choose(RandomGenerator random) {
		double left = random.nextDouble() * this.services.stream().mapToDouble(WeightedService::weight).sum();
		for (WeightedService share : this.services) {
			left -= share.weight();
			if (left < 0) {
				return Optional.of(share.service());
			}
		}
		return Optional.empty();
	}

}
