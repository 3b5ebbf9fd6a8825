package org.mulberrycross.caller;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * A configured route from a host and path to services. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param host the host to match, not null
 * @param pathPrefix the path prefix to match, not null
 * @param kind the retry semantics of its requests, not null
 * @param timeout the maximum time from the arrival of a request to the end of its
 * response, not null
 * @param targetLatency the target latency of the response or, for a stream, its first
 * event, not null
 * @param maxExecutions the maximum number of upstreams that may execute a request, at
 * least 1
 * @param priority the priority, 0 for the most urgent
 * @param anonymous whether requests need no API key
 * @param resumable whether a stream may continue on another upstream after its last event
 * @param services the services among which requests are split, not empty
 * @param pauseTarget the longest pause between two events of a stream that is still on
 * time, or empty if the route declares none, not null
 */
public record RouteRule(String name, String host, String pathPrefix, RouteKind kind, Duration timeout,
		Duration targetLatency, int maxExecutions, int priority, boolean anonymous, boolean resumable,
		List<WeightedService> services, Optional<Duration> pauseTarget) {

	/**
	 * Creates a route.
	 * @param name the name, not null
	 * @param host the host to match, not null
	 * @param pathPrefix the path prefix to match, not null
	 * @param kind the retry semantics of its requests, not null
	 * @param timeout the maximum time to the end of a response, not null
	 * @param targetLatency the target latency, not null
	 * @param maxExecutions the maximum number of upstreams that may execute a request
	 * @param priority the priority, 0 for the most urgent
	 * @param anonymous whether requests need no API key
	 * @param resumable whether a stream may continue on another upstream
	 * @param services the services among which requests are split, not empty
	 * @param pauseTarget the longest pause of a stream that is on time, or empty, not
	 * null
	 */
	public RouteRule {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(pathPrefix, "pathPrefix");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(timeout, "timeout");
		Objects.requireNonNull(targetLatency, "targetLatency");
		Objects.requireNonNull(pauseTarget, "pauseTarget");
		services = List.copyOf(services);
		if (services.isEmpty() || maxExecutions < 1) {
			throw new IllegalArgumentException(
					"route " + name + " has no services or maxExecutions " + maxExecutions + " is below 1");
		}
	}

	/**
	 * Creates a route that declares no longest pause.
	 * @param name the name, not null
	 * @param host the host to match, not null
	 * @param pathPrefix the path prefix to match, not null
	 * @param kind the retry semantics of its requests, not null
	 * @param timeout the maximum time to the end of a response, not null
	 * @param targetLatency the target latency, not null
	 * @param maxExecutions the maximum number of upstreams that may execute a request
	 * @param priority the priority, 0 for the most urgent
	 * @param anonymous whether requests need no API key
	 * @param resumable whether a stream may continue on another upstream
	 * @param services the services among which requests are split, not empty
	 */
	public RouteRule(String name, String host, String pathPrefix, RouteKind kind, Duration timeout,
			Duration targetLatency, int maxExecutions, int priority, boolean anonymous, boolean resumable,
			List<WeightedService> services) {
		this(name, host, pathPrefix, kind, timeout, targetLatency, maxExecutions, priority, anonymous, resumable,
				services, Optional.empty());
	}

	/**
	 * Returns whether a request that may have been executed can be retried.
	 * @return true for idempotent requests and resumable streams
	 */
	public boolean isRetryable() {
		return this.kind == RouteKind.IDEMPOTENT || (this.kind == RouteKind.STREAM && this.resumable);
	}

	/**
	 * Chooses a service at random in proportion to the weights.
	 * @param random the source of random numbers, not null
	 * @return the service, or empty if all weights are 0
	 */
	public Optional<String> chooseService(RandomGenerator random) {
		double remaining = random.nextDouble() * this.services.stream().mapToDouble(WeightedService::weight).sum();
		for (WeightedService candidate : this.services) {
			remaining -= candidate.weight();
			if (remaining < 0) {
				return Optional.of(candidate.service());
			}
		}
		return Optional.empty();
	}

}
