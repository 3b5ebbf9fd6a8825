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
 */
record WatchTiming(Duration watchTimeout, Duration maxConfirmationAge, Duration batchDelay) {

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
	 * Additional pause for each daemon, since each change costs one call of each daemon:
	 * all daemons together make at most 40 calls a second for changes of one kind.
	 */
	private static final Duration BATCH_DELAY_PER_DAEMON = Duration.ofMillis(25);

	WatchTiming {
		Objects.requireNonNull(watchTimeout, "watchTimeout");
		Objects.requireNonNull(maxConfirmationAge, "maxConfirmationAge");
		Objects.requireNonNull(batchDelay, "batchDelay");
	}

	// Returns the timing for the configuration in a fleet of daemons.
	static WatchTiming ofConfiguration(PropagationLimits limits, int daemonCount) {
		Duration batchDelay = batchDelay(MIN_CONFIGURATION_BATCH_DELAY,
				limits.configuration().dividedBy(CONFIGURATION_BATCH_DIVISOR), daemonCount);
		return new WatchTiming(watchTimeout(limits, batchDelay), CONFIGURATION_CONFIRMATION_AGE, batchDelay);
	}

	// Returns the timing for upstreams in a fleet of daemons.
	static WatchTiming ofUpstreams(PropagationLimits limits, int daemonCount) {
		Duration batchDelay = batchDelay(MIN_UPSTREAM_BATCH_DELAY, limits.drain().dividedBy(UPSTREAM_BATCH_DIVISOR),
				daemonCount);
		Duration timeout = watchTimeout(limits, batchDelay);
		return new WatchTiming(timeout, timeout.multipliedBy(2), batchDelay);
	}

	// Returns the timing for events about requests that crash engines. They are rare, and
	// each moment of delay may cost an engine, so the pause does not grow with the fleet.
	static WatchTiming ofCrashEvents(PropagationLimits limits) {
		Duration timeout = min(limits.drain().plus(limits.contact()).minus(CRASH_EVENT_TIMEOUT_MARGIN),
				MAX_CRASH_EVENT_TIMEOUT);
		return new WatchTiming(timeout, timeout.multipliedBy(2), CRASH_EVENT_BATCH_DELAY);
	}

	// The limits do not apply until the contact time after connections have gone silent.
	// A watch that begins after the pause for changes is noticed to be silent, and
	// replaced, within that time.
	private static Duration watchTimeout(PropagationLimits limits, Duration batchDelay) {
		return min(limits.contact().minus(RECONNECT_TIME).minus(batchDelay), MAX_TIMEOUT);
	}

	private static Duration batchDelay(Duration minimum, Duration maximum, int daemonCount) {
		Duration delay = min(BATCH_DELAY_PER_DAEMON.multipliedBy(daemonCount), maximum);
		return (delay.compareTo(minimum) < 0) ? minimum : delay;
	}

	private static Duration min(Duration left, Duration right) {
		return (left.compareTo(right) < 0) ? left : right;
	}

}
