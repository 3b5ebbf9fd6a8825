package org.mulberrycross.router.relay;

import java.util.HashMap;
import java.util.Map;

import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.caller.WeightedService;

/**
 * This daemon's share of the retries that all daemons may send to each service. Owned by
 * the control thread; not thread-safe.
 */
final class RetryBudgets {

	/**
	 * Part of the client's requests for a service that daemons may repeat, of the limit.
	 */
	private static final double RATIO_SHARE = 0.8;

	/**
	 * Part of the burst of retries that daemons use, so that daemons that all start again
	 * within the limit's window stay below it too.
	 */
	private static final double BURST_SHARE = 0.5;

	/** Least burst of a daemon, so that many daemons may repeat single requests. */
	private static final double LEAST_BURST = 1;

	private final Map<String, RetryWindow> windows = new HashMap<>();

	private RelaySettings settings;

	private int daemons;

	RetryBudgets(RelaySettings settings, int daemons) {
		this.settings = settings;
		this.daemons = daemons;
	}

	void reload(RelaySettings changed) {
		this.settings = changed;
	}

	void daemons(int count) {
		this.daemons = count;
	}

	// Notes a request that is sent for the first time.
	void requested(RouteRule rule, long nowNanos) {
		rule.services().forEach((share) -> window(share).requested(nowNanos));
	}

	boolean has(RouteRule rule, long nowNanos) {
		double ratio = this.settings.retryRatio() * RATIO_SHARE;
		double burst = Math.max(LEAST_BURST, this.settings.retryBurst() * BURST_SHARE / this.daemons);
		return rule.services()
			.stream()
			.allMatch((share) -> window(share).allows(this.settings.retryWindow(), ratio, burst, nowNanos));
	}

	// Takes a retry, if one is left.
	boolean take(RouteRule rule, long nowNanos) {
		if (!has(rule, nowNanos)) {
			return false;
		}
		rule.services().forEach((share) -> window(share).retried(nowNanos));
		return true;
	}

	private RetryWindow window(WeightedService share) {
		return this.windows.computeIfAbsent(share.service(), (name) -> new RetryWindow());
	}

}
