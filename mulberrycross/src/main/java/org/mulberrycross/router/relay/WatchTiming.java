package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * Timing of the watches of one object kind. The store charges for each call, so this
 * trades calls for delay. Immutable and thread-safe.
 *
 * @param watchTimeout the timeout of a watch while nothing changes, not null
 * @param timeoutAfterChange the timeout of the watch after one that returned changes; a
 * short one soon confirms that the changed objects are current, not null
 * @param batchDelay the pause after changes, so that changes accumulate, not null
 */
record WatchTiming(Duration watchTimeout, Duration timeoutAfterChange, Duration batchDelay) {

	/**
	 * Timing for the configuration. A watch that returns changes and the next one, which
	 * confirms them, together take less than the age at which keys are no longer
	 * accepted. The pause is far below the time within which a change must be applied.
	 */
	static final WatchTiming CONFIGURATION = new WatchTiming(Duration.ofMillis(2800), Duration.ofMillis(600),
			Duration.ofMillis(100));

	/**
	 * Timing for upstreams. The 2 s limits on leaving upstreams are suspended for 3 s
	 * when a connection goes silent; the watch timeout detects this within the sum of
	 * both, 5 s. The pause in which changes accumulate is far below these limits.
	 */
	static final WatchTiming UPSTREAMS = new WatchTiming(Duration.ofMillis(4000), Duration.ofMillis(4000),
			Duration.ofMillis(250));

	WatchTiming {
		Objects.requireNonNull(watchTimeout, "watchTimeout");
		Objects.requireNonNull(timeoutAfterChange, "timeoutAfterChange");
		Objects.requireNonNull(batchDelay, "batchDelay");
	}

}
