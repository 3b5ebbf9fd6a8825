package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.Objects;

/**
 * How often a borrower reports to the owner of a limit. Immutable and thread-safe.
 *
 * @param minRequestInterval the minimum time between two requests for a larger share of
 * one limit, positive, not null
 * @param reportsIdle whether a borrower without requests keeps reporting, for limits
 * whose slots depend on the number of borrowers
 */
public record ShareTiming(Duration minRequestInterval, boolean reportsIdle) {

	/** The timing for limits whose slots do not depend on the number of borrowers. */
	public static final ShareTiming DEFAULT = new ShareTiming(Duration.ofMillis(200), false);

	/**
	 * Creates a timing.
	 * @param minRequestInterval the minimum time between two requests for a larger share,
	 * positive, not null
	 * @param reportsIdle whether a borrower without requests keeps reporting
	 */
	public ShareTiming {
		Objects.requireNonNull(minRequestInterval, "minRequestInterval");
	}

}
