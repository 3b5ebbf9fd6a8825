package org.mulberrycross.router.relay;

import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.Address;

/**
 * Settings for messages between daemons. Immutable and thread-safe.
 *
 * @param address the address to serve other daemons on, or empty if this daemon neither
 * sends nor receives such messages, not null
 * @param minDaemons the number of daemons below which no messages are sent
 * @param shareLoad whether daemons tell each other what they have running
 * @param shareChanges whether changes of the store are passed on within a data centre
 */
public record SiblingSettings(Optional<Address> address, int minDaemons, boolean shareLoad, boolean shareChanges) {

	/**
	 * Default of the minimum number of daemons. In smaller fleets the load of one daemon
	 * is a usable sample of that of all.
	 */
	public static final int DEFAULT_MIN_DAEMONS = 8;

	/** No messages between daemons. */
	public static final SiblingSettings NONE = new SiblingSettings(Optional.empty(), DEFAULT_MIN_DAEMONS, false, false);

	/**
	 * Creates settings.
	 * @param address the address to serve other daemons on, not null
	 * @param minDaemons the number of daemons below which no messages are sent
	 * @param shareLoad whether daemons tell each other what they have running
	 * @param shareChanges whether changes of the store are passed on
	 */
	public SiblingSettings {
		Objects.requireNonNull(address, "address");
	}

}
