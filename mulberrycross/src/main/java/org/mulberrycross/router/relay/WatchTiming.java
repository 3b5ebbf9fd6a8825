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
	 * Timeout of a watch of the configuration. With the time until a silent connection is
	 * noticed, it stays below the age at which keys are no longer accepted.
	 */
	private static final Duration CONFIGURATION_TIMEOUT = Duration.ofMillis(2800);

	/**
	 * Age by which a changed configuration must be confirmed. With the timeout of a call,
	 * it stays below the age at which keys are no longer accepted.
	 */
	private static final Duration CONFIGURATION_CONFIRMATION_AGE = Duration.ofMillis(3400);

	private static final Duration MIN_CONFIGURATION_BATCH_DELAY = Duration.ofMillis(100);

	/** Part of the limit on applying a configuration for which changes accumulate. */
	private static final int CONFIGURATION_BATCH_DIVISOR = 8;

	/**
	 * Maximum timeout of a watch of upstreams. An outage that cuts a watch silently is
	 * noticed only after it.
	 */
	private static final Duration MAX_UPSTREAM_TIMEOUT = Duration.ofMillis(6000);

	/** Part of the limits on leaving upstreams that is left to calls and decisions. */
	private static final Duration UPSTREAM_TIMEOUT_MARGIN = Duration.ofMillis(1000);

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
		return new WatchTiming(CONFIGURATION_TIMEOUT, CONFIGURATION_CONFIRMATION_AGE,
				batchDelay(MIN_CONFIGURATION_BATCH_DELAY, limits.configuration().dividedBy(CONFIGURATION_BATCH_DIVISOR),
						daemonCount));
	}

	// Returns the timing for upstreams in a fleet of daemons. A connection that goes
	// silent suspends the limit on leaving upstreams for the contact time; the timeout of
	// the watch detects this within the sum of both.
	static WatchTiming ofUpstreams(PropagationLimits limits, int daemonCount) {
		Duration detection = limits.drain().plus(limits.contact()).minus(UPSTREAM_TIMEOUT_MARGIN);
		Duration timeout = min(detection, MAX_UPSTREAM_TIMEOUT);
		return new WatchTiming(timeout, timeout.multipliedBy(2),
				batchDelay(MIN_UPSTREAM_BATCH_DELAY, limits.drain().dividedBy(UPSTREAM_BATCH_DIVISOR), daemonCount));
	}

	// Returns the timing for events about requests that crash engines. They are rare, and
	// each moment of delay may cost an engine, so the pause does not grow with the fleet.
	static WatchTiming ofCrashEvents(PropagationLimits limits) {
		WatchTiming upstreams = ofUpstreams(limits, 1);
		return new WatchTiming(upstreams.watchTimeout(), upstreams.maxConfirmationAge(), CRASH_EVENT_BATCH_DELAY);
	}

	private static Duration batchDelay(Duration minimum, Duration maximum, int daemonCount) {
		Duration delay = min(BATCH_DELAY_PER_DAEMON.multipliedBy(daemonCount), maximum);
		return (delay.compareTo(minimum) < 0) ? minimum : delay;
	}

	private static Duration min(Duration left, Duration right) {
		return (left.compareTo(right) < 0) ? left : right;
	}

}
