package org.mulberrycross.router.relay;

import java.util.HashMap;
import java.util.Map;

import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.caller.WeightedService;

/**
 * Retry budgets by service: this daemon's share of the retries that all daemons together
 * may send. Confined to the control thread; not thread-safe.
 */
final class RetryBudgets {

	/** Share of the permitted ratio of retries to requests that daemons use. */
	private static final double RATIO_SHARE = 0.8;

	/**
	 * Share of the permitted burst that daemons use. Daemons that restart forget their
	 * retries, so all daemons restarting within one window may use the burst twice.
	 */
	private static final double BURST_SHARE = 0.5;

	/** Minimum burst, so that each of many daemons may still retry single requests. */
	private static final double MIN_BURST = 1;

	/**
	 * Share of the retries in a window after which only failures are retried, so that
	 * moves of live streams leave half of them to requests that have failed.
	 */
	private static final double OPTIONAL_SHARE = 0.5;

	private final Map<String, RetryWindow> windows = new HashMap<>();

	private RelaySettings settings;

	private int daemonCount;

	RetryBudgets(RelaySettings settings, int daemonCount) {
		this.settings = settings;
		this.daemonCount = daemonCount;
	}

	void reload(RelaySettings changed) {
		this.settings = changed;
	}

	void updateDaemonCount(int count) {
		this.daemonCount = count;
	}

	// Records the first attempt of a request.
	void recordRequest(RouteRule rule, long nowNanos) {
		rule.services().forEach((target) -> windowFor(target).recordRequest(nowNanos));
	}

	// Returns whether a retry is available for each service of the route.
	boolean hasRetry(RouteRule rule, long nowNanos) {
		return hasRetries(rule, 1, 1, nowNanos);
	}

	// Returns whether a retry that failures do not need is available for each service of
	// the route, and beyond it a number of spare ones.
	boolean hasOptionalRetry(RouteRule rule, int spareCount, long nowNanos) {
		return hasRetries(rule, 1 + spareCount, 1, nowNanos) && hasRetries(rule, 1, OPTIONAL_SHARE, nowNanos);
	}

	private boolean hasRetries(RouteRule rule, int count, double share, long nowNanos) {
		double ratio = share * this.settings.retryRatio() * RATIO_SHARE;
		double burst = share * Math.max(MIN_BURST, this.settings.retryBurst() * BURST_SHARE / this.daemonCount);
		return rule.services()
			.stream()
			.allMatch((target) -> windowFor(target).allowsRetries(count, this.settings.retryWindow(), ratio, burst,
					nowNanos));
	}

	// Takes a retry from the budget of each service of the route if each has one. Returns
	// whether it did.
	boolean tryAcquire(RouteRule rule, long nowNanos) {
		if (!hasRetry(rule, nowNanos)) {
			return false;
		}
		rule.services().forEach((target) -> windowFor(target).recordRetry(nowNanos));
		return true;
	}

	private RetryWindow windowFor(WeightedService target) {
		return this.windows.computeIfAbsent(target.service(), (name) -> new RetryWindow());
	}

}
