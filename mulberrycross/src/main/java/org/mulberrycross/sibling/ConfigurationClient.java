package org.mulberrycross.sibling;

import org.mulberrycross.PeerException;

/**
 * Asks a sibling for the newest version of the configuration that it knows.
 */
@FunctionalInterface
public interface ConfigurationClient {

	/**
	 * Asks a sibling.
	 * @param sibling the sibling, not null
	 * @param version the newest version that this daemon knows
	 * @return what the sibling knows, never null
	 * @throws PeerException if no valid reply arrives in time, or the sibling does not
	 * know this daemon
	 */
	ConfigurationReply request(Sibling sibling, long version) throws PeerException;

}
