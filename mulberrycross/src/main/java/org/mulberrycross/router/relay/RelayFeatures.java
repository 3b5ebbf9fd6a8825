package org.mulberrycross.router.relay;

import java.util.Objects;

/**
 * Parts of a relaying daemon that are in force only where the settings call for them.
 * Immutable and thread-safe.
 *
 * @param siblings the settings for messages between daemons, not null
 * @param earlyMoves whether silent streams are moved before their pause is too long
 * @param expectedCost whether requests are routed by their expected cost, learned from
 * earlier ones
 * @param waiting how requests wait for upstreams and are ranked, not null
 */
public record RelayFeatures(SiblingSettings siblings, boolean earlyMoves, boolean expectedCost,
		WaitingSettings waiting) {

	/** No optional part. */
	public static final RelayFeatures NONE = new RelayFeatures(SiblingSettings.NONE, false, false, WaitingSettings.OFF);

	/**
	 * Creates a selection of parts.
	 * @param siblings the settings for messages between daemons, not null
	 * @param earlyMoves whether silent streams are moved early
	 * @param expectedCost whether requests are routed by their expected cost
	 * @param waiting how requests wait for upstreams and are ranked, not null
	 */
	public RelayFeatures {
		Objects.requireNonNull(siblings, "siblings");
		Objects.requireNonNull(waiting, "waiting");
	}

}
