package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * Timing of the watches of one object kind. The store charges for each call, so this
 * trades calls for delay. Immutable and thread-safe.
 *
 * @param watchTimeout the timeout of a watch while nothing changes, not null
 * @param maxConfirmationAge the age of the last confirmation that the known objects are
 * current by which the next watch must end, not null
 * @param batchDelay the pause after changes, so that changes accumulate, not null
 * @param maxSiblingAge the age of the last confirmation by which a daemon that follows a
 * sibling must ask the store itself, not null
 */
record WatchTiming(Duration watchTimeout, Duration maxConfirmationAge, Duration batchDelay, Duration maxSiblingAge) {

	/**
	 * Maximum timeout of a watch. With the time until its call fails, it stays below the
	 * age at which keys are no longer accepted, and below the time after which upstreams
	 * that cannot reach the store lose their entries: an outage in which entries lapse is
	 * noticed while it lasts.
	 */
	private static final Duration MAX_TIMEOUT = Duration.ofMillis(2800);

	/**
	 * Part of the contact time that is left after a watch: its call fails 0.8 s after the
	 * end of its wait, and the next call needs a new connection.
	 */
	private static final Duration RECONNECT_TIME = Duration.ofMillis(1100);

	/**
	 * Age by which a changed configuration must be confirmed. With the timeout of a call,
	 * it stays below the age at which keys are no longer accepted.
	 */
	private static final Duration CONFIGURATION_CONFIRMATION_AGE = Duration.ofMillis(3400);

	private static final Duration MIN_CONFIGURATION_BATCH_DELAY = Duration.ofMillis(100);

	/** Part of the limit on applying a configuration for which changes accumulate. */
	private static final int CONFIGURATION_BATCH_DIVISOR = 8;

	/** Maximum timeout of a watch of crash events, which no limit depends on. */
	private static final Duration MAX_CRASH_EVENT_TIMEOUT = Duration.ofMillis(6000);

	/** Part of the limits on leaving upstreams that is left to calls and decisions. */
	private static final Duration CRASH_EVENT_TIMEOUT_MARGIN = Duration.ofMillis(1000);

	private static final Duration MIN_UPSTREAM_BATCH_DELAY = Duration.ofMillis(250);

	/** Part of the limit on leaving upstreams for which changes accumulate. */
	private static final int UPSTREAM_BATCH_DIVISOR = 4;

	private static final Duration CRASH_EVENT_BATCH_DELAY = Duration.ofMillis(15);

	/**
	 * Additional pause for each daemon that calls the store, since each change costs one
	 * call of each: all together make at most 40 calls a second for changes of one kind.
	 */
	private static final Duration BATCH_DELAY_PER_CALLER = Duration.ofMillis(25);

	/**
	 * Part of a limit after which a daemon that hears nothing from a sibling asks the
	 * store. The rest is left to that call and to decisions.
	 */
	private static final double SIBLING_AGE_FRACTION = 0.7;

	/** The same part for crash events, in terms of the limit on leaving upstreams. */
	private static final double CRASH_EVENT_SIBLING_AGE_FRACTION = 1.0;

	/**
	 * Part of the age at which siblings ask the store that passes between confirmations
	 * for them. The rest is left to the pause after a change and the watch that follows.
	 */
	private static final double CONFIRMATION_FRACTION = 0.42;

	/**
	 * Time for the shortest watch, which confirms a change after the pause, and for the
	 * reply to siblings.
	 */
	private static final Duration RECONFIRMATION_TIME = Duration.ofMillis(500);

	WatchTiming {
		Objects.requireNonNull(watchTimeout, "watchTimeout");
		Objects.requireNonNull(maxConfirmationAge, "maxConfirmationAge");
		Objects.requireNonNull(batchDelay, "batchDelay");
		Objects.requireNonNull(maxSiblingAge, "maxSiblingAge");
	}

	// Returns the timing for the configuration in a fleet where a number of daemons calls
	// the store.
	static WatchTiming ofConfiguration(PropagationLimits limits, int callerCount) {
		Duration batchDelay = batchDelay(MIN_CONFIGURATION_BATCH_DELAY,
				limits.configuration().dividedBy(CONFIGURATION_BATCH_DIVISOR), callerCount);
		Duration timeout = watchTimeout(limits, batchDelay);
		return new WatchTiming(timeout, CONFIGURATION_CONFIRMATION_AGE, batchDelay,
				min(fraction(limits.configuration(), SIBLING_AGE_FRACTION), timeout));
	}

	// Returns the timing for upstreams in a fleet where a number of daemons calls the
	// store.
	static WatchTiming ofUpstreams(PropagationLimits limits, int callerCount) {
		Duration batchDelay = batchDelay(MIN_UPSTREAM_BATCH_DELAY, limits.drain().dividedBy(UPSTREAM_BATCH_DIVISOR),
				callerCount);
		Duration timeout = watchTimeout(limits, batchDelay);
		return new WatchTiming(timeout, timeout.multipliedBy(2), batchDelay,
				min(fraction(limits.drain(), SIBLING_AGE_FRACTION), timeout));
	}

	// Returns the timing for events about requests that crash engines. They are rare, and
	// each moment of delay may cost an engine, so the pause does not grow with the fleet.
	static WatchTiming ofCrashEvents(PropagationLimits limits) {
		Duration timeout = min(limits.drain().plus(limits.contact()).minus(CRASH_EVENT_TIMEOUT_MARGIN),
				MAX_CRASH_EVENT_TIMEOUT);
		return new WatchTiming(timeout, timeout.multipliedBy(2), CRASH_EVENT_BATCH_DELAY,
				min(fraction(limits.drain(), CRASH_EVENT_SIBLING_AGE_FRACTION), timeout));
	}

	// Returns the timing for a daemon that siblings follow: it confirms its knowledge to
	// them before they ask the store.
	WatchTiming forFollowedDaemon() {
		Duration timeout = min(fraction(this.maxSiblingAge, CONFIRMATION_FRACTION), this.watchTimeout);
		Duration longestPause = this.maxSiblingAge.minus(timeout).minus(RECONFIRMATION_TIME);
		Duration pause = longestPause.isNegative() ? Duration.ZERO : min(this.batchDelay, longestPause);
		return new WatchTiming(timeout, timeout, pause, this.maxSiblingAge);
	}

	private static Duration fraction(Duration limit, double fraction) {
		return Duration.ofNanos((long) (limit.toNanos() * fraction));
	}

	// The limits do not apply until the contact time after connections have gone silent.
	// A watch that begins after the pause for changes is noticed to be silent, and
	// replaced, within that time.
	private static Duration watchTimeout(PropagationLimits limits, Duration batchDelay) {
		return min(limits.contact().minus(RECONNECT_TIME).minus(batchDelay), MAX_TIMEOUT);
	}

	private static Duration batchDelay(Duration minimum, Duration maximum, int callerCount) {
		Duration delay = min(BATCH_DELAY_PER_CALLER.multipliedBy(callerCount), maximum);
		return (delay.compareTo(minimum) < 0) ? minimum : delay;
	}

	private static Duration min(Duration left, Duration right) {
		return (left.compareTo(right) < 0) ? left : right;
	}

}
