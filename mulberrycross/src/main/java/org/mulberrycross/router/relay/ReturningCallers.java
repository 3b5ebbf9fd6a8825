package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Recognizes requests that their client sends again after a refusal or a failure: less
 * time is left of them than of the first attempts on the same route. Confined to the
 * control thread; not thread-safe.
 */
final class ReturningCallers {

	/**
	 * Used part of the time from which a request counts as sent again. Refused clients
	 * come back no sooner, and the clocks of clients differ by less.
	 */
	private static final Duration MIN_USED_TIME = Duration.ofMillis(100);

	/** Limit on the routes that are remembered, for configurations that keep changing. */
	private static final int MAX_ROUTES = 4096;

	/** The longest time that a client granted, by route. */
	private final Map<String, Duration> longestTimeouts = new HashMap<>();

	// Records an admitted request and returns whether it is sent again.
	boolean record(RelayExchange exchange) {
		if (exchange.call().timeout().isEmpty()) {
			return false;
		}
		Duration timeout = exchange.call().timeout().get();
		String route = exchange.rule().name();
		if (this.longestTimeouts.size() >= MAX_ROUTES && !this.longestTimeouts.containsKey(route)) {
			this.longestTimeouts.clear();
		}
		Duration longest = this.longestTimeouts.merge(route, timeout,
				(known, other) -> (known.compareTo(other) < 0) ? other : known);
		return longest.minus(timeout).compareTo(MIN_USED_TIME) >= 0;
	}

}
