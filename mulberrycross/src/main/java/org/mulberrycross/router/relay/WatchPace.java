package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;

/**
 * How often a kind is asked for in the store, whose calls are charged. Immutable and
 * thread-safe.
 *
 * @param longestWait the wait of a watch while nothing changes, not null
 * @param waitAfterChange the wait of the watch after one that brought changes, which soon
 * proves up to when the objects are known, not null
 * @param gathering the pause after changes in which further ones gather, not null
 */
record WatchPace(Duration longestWait, Duration waitAfterChange, Duration gathering) {

	/**
	 * Pace for the configuration. Two watches in a row stay below the age at which keys
	 * are no longer honoured, and the pause far below the time in which a change is in
	 * force.
	 */
	static final WatchPace CONFIGURATION = new WatchPace(Duration.ofMillis(2800), Duration.ofMillis(600),
			Duration.ofMillis(100));

	/**
	 * Pace for upstreams. A silent connection suspends the bounds on leaving upstreams,
	 * of 2 s, for 3 s, and is noticed within both together; the pause is far below these
	 * bounds.
	 */
	static final WatchPace UPSTREAMS = new WatchPace(Duration.ofMillis(4000), Duration.ofMillis(4000),
			Duration.ofMillis(250));

	WatchPace {
		Objects.requireNonNull(longestWait, "longestWait");
		Objects.requireNonNull(waitAfterChange, "waitAfterChange");
		Objects.requireNonNull(gathering, "gathering");
	}

}
