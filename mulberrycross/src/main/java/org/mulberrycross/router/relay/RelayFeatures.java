package org.mulberrycross.router.relay;

import java.util.Objects;

/**
 * Parts of a relaying daemon that are in force only where the settings call for them.
 * Immutable and thread-safe.
 *
 * @param siblings the settings for messages between daemons, not null
 * @param earlyMoves whether silent streams are moved before their pause is too long
 */
public record RelayFeatures(SiblingSettings siblings, boolean earlyMoves) {

	/** No optional part. */
	public static final RelayFeatures NONE = new RelayFeatures(SiblingSettings.NONE, false);

	/**
	 * Creates a selection of parts.
	 * @param siblings the settings for messages between daemons, not null
	 * @param earlyMoves whether silent streams are moved early
	 */
	public RelayFeatures {
		Objects.requireNonNull(siblings, "siblings");
	}

}
