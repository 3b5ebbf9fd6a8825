package org.mulberrycross.router.relay;

import java.util.Optional;
import java.util.function.Predicate;

import org.mulberrycross.MonotonicClock;

/**
 * Decides whether a request may be sent once more, by its route, its attempts and the
 * retry budget of all daemons. Owns the budgets. Confined to the control thread; not
 * thread-safe.
 */
final class RetryPolicy {

	/**
	 * Maximum number of attempts of a request, including rejected ones.
	 */
	private static final int MAX_ATTEMPTS = 5;

	/**
	 * Streams under way to another path for each retry that is kept for them; about a
	 * fifth of them find no room or no connection there.
	 */
	private static final int MOVES_PER_SPARE_RETRY = 4;

	private final RetryBudgets budgets;

	/** Whether a request is likely to crash the engine that it is sent to. */
	private final Predicate<RelayExchange> suspected;

	private final MonotonicClock clock;

	RetryPolicy(RelaySettings settings, int daemonCount, Predicate<RelayExchange> suspected, MonotonicClock clock) {
		this.budgets = new RetryBudgets(settings, daemonCount);
		this.suspected = suspected;
		this.clock = clock;
	}

	void reload(RelaySettings changed) {
		this.budgets.reload(changed);
	}

	void updateDaemonCount(int count) {
		this.budgets.updateDaemonCount(count);
	}

	// Records the first attempt of a request. One that a sibling has passed on is
	// recorded there.
	void recordRequest(RelayExchange exchange) {
		if (!exchange.isRelayed()) {
			this.budgets.recordRequest(exchange.rule(), this.clock.nanos());
		}
	}

	// Returns whether a request that no upstream has received may be sent once more,
	// which the budget does not count.
	static boolean mayTryAgain(RelayExchange exchange) {
		return exchange.isResumable() && exchange.attempts() < MAX_ATTEMPTS;
	}

	// Takes a retry from the budget. Returns empty on success, or the reason why the
	// request must not be retried.
	Optional<String> acquire(RelayExchange exchange) {
		if (!exchange.isResumable()) {
			return Optional.of("the response has already started and cannot be resumed");
		}
		if (exchange.attempts() >= MAX_ATTEMPTS) {
			return Optional.of("the maximum number of attempts is reached");
		}
		if (this.suspected.test(exchange)) {
			return Optional.of("a part of the prompt has crashed engines");
		}
		if (!this.budgets.tryAcquire(exchange.rule(), this.clock.nanos())) {
			return Optional.of("the retry budget is exhausted");
		}
		return Optional.empty();
	}

	// Returns whether a request that may have been executed can be executed again.
	static boolean mayExecuteAgain(RelayExchange exchange) {
		return exchange.rule().isRetryable() && exchange.executions() < exchange.maxExecutions();
	}

	// Returns whether a retry is possible. A late response alone is no reason to fail a
	// request, so without a possible retry the attempt continues.
	boolean mayRetry(RelayExchange exchange) {
		return mayExecuteAgain(exchange) && mayTryAgain(exchange) && !this.suspected.test(exchange)
				&& this.budgets.hasRetry(exchange.rule(), this.clock.nanos());
	}

	// Returns whether a stream may be moved while others that were moved have no event
	// yet. A moved stream without another retry would be broken off if its new path has
	// no room either, and one with a part that has crashed engines would not be retried.
	boolean mayMove(RelayExchange exchange, int movesUnderWay) {
		return mayRetry(exchange) && this.budgets.hasOptionalRetry(exchange.rule(),
				1 + movesUnderWay / MOVES_PER_SPARE_RETRY, this.clock.nanos());
	}

}
