package org.mulberrycross.router.relay;

import java.util.HashMap;
import java.util.Map;

import org.mulberrycross.RetryBudget;
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

	/** Least ratio that the budget takes; stands for none. */
	private static final double LEAST_RATIO = 0.001;

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	private RelaySettings settings;

	private int daemons;

	RetryBudgets(RelaySettings settings, int daemons) {
		this.settings = settings;
		this.daemons = daemons;
	}

	void reload(RelaySettings changed) {
		this.settings = changed;
		this.budgets.clear();
	}

	void daemons(int count) {
		if (this.daemons != count) {
			this.daemons = count;
			this.budgets.clear();
		}
	}

	void earned(RouteRule rule) {
		rule.services().forEach((share) -> budget(share).earned());
	}

	boolean has(RouteRule rule) {
		return rule.services().stream().allMatch((share) -> budget(share).hasRetry());
	}

	boolean take(RouteRule rule) {
		return has(rule) && rule.services().stream().allMatch((share) -> budget(share).tryRetry());
	}

	private RetryBudget budget(WeightedService share) {
		return this.budgets.computeIfAbsent(share.service(),
				(name) -> new RetryBudget(Math.max(LEAST_RATIO, this.settings.retryRatio() * RATIO_SHARE),
						Math.max(1, this.settings.retryBurst() * BURST_SHARE / this.daemons)));
	}

}
