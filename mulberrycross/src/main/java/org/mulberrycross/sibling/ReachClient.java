package org.mulberrycross.sibling;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;

/**
 * Asks a sibling whether it reaches the upstreams.
 */
@FunctionalInterface
public interface ReachClient {

	/**
	 * Asks a sibling.
	 * @param address the address of the sibling, not null
	 * @return whether it reaches the upstreams and takes requests of others
	 * @throws PeerException if no valid reply arrives in time
	 */
	boolean reachesUpstreams(Address address) throws PeerException;

}
