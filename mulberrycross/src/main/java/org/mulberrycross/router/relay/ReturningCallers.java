package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Recognizes requests that their client sends again after a refusal or a failure: less
 * time is left of them than of the first attempts of the same team on the same route
 * within the last minute. Confined to the control thread; not thread-safe.
 */
final class ReturningCallers {

	/**
	 * Used part of the time from which a request counts as sent again. Refused clients
	 * come back no sooner, and the clocks of clients differ by less.
	 */
	private static final Duration MIN_USED_TIME = Duration.ofMillis(100);

	/** Length of a period; the maximum of this period and the one before it counts. */
	private static final long PERIOD_NANOS = Duration.ofSeconds(30).toNanos();

	/** Limit on the clients that are remembered in a period. */
	private static final int MAX_CLIENTS = 4096;

	/** The longest time that clients granted in this period, by route and team. */
	private Map<Client, Duration> longestTimeouts = new HashMap<>();

	private Map<Client, Duration> previousTimeouts = Map.of();

	private OptionalLong periodStartNanos = OptionalLong.empty();

	// Records an admitted request and returns whether it is sent again.
	boolean record(RelayExchange exchange, long nowNanos) {
		if (exchange.call().timeout().isEmpty()) {
			return false;
		}
		startPeriod(nowNanos);
		Duration timeout = exchange.call().timeout().get();
		Client client = new Client(exchange.rule().name(), exchange.team());
		if (this.longestTimeouts.size() >= MAX_CLIENTS && !this.longestTimeouts.containsKey(client)) {
			this.longestTimeouts.clear();
		}
		Duration longest = longer(this.longestTimeouts.merge(client, timeout, ReturningCallers::longer),
				this.previousTimeouts.getOrDefault(client, Duration.ZERO));
		return longest.minus(timeout).compareTo(MIN_USED_TIME) >= 0;
	}

	private void startPeriod(long nowNanos) {
		long ageNanos = nowNanos - this.periodStartNanos.orElse(nowNanos - PERIOD_NANOS);
		if (ageNanos < PERIOD_NANOS) {
			return;
		}
		this.previousTimeouts = (ageNanos < 2 * PERIOD_NANOS) ? this.longestTimeouts : Map.of();
		this.longestTimeouts = new HashMap<>();
		this.periodStartNanos = OptionalLong.of(nowNanos);
	}

	private static Duration longer(Duration one, Duration other) {
		return (one.compareTo(other) < 0) ? other : one;
	}

	/** The clients of a team that use a route, which grant similar times. */
	private record Client(String route, Optional<String> team) {

	}

}
