package org.mulberrycross.sibling;

import java.time.Duration;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;

/**
 * Asks a sibling for changes. Implementations are thread-safe and block.
 */
@FunctionalInterface
public interface ChangesClient {

	/**
	 * Sends a query and waits for the reply.
	 * @param address the address of the sibling, not null
	 * @param query the query, not null
	 * @param timeout the maximum time until the reply is complete, positive
	 * @return the reply
	 * @throws PeerException if there is no valid reply in time
	 */
	ChangesReply request(Address address, ChangesQuery query, Duration timeout) throws PeerException;

}
