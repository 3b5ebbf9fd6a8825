package org.mulberrycross.sibling;

import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;

/**
 * Exchanges figures on work with other daemons. Implementations are thread-safe. The
 * methods block and must not be called on the control thread.
 */
public interface WorkClient {

	/**
	 * Sends a report to a hub and returns the work of all daemons.
	 * @param hub the address of the hub, not null
	 * @param report the report, not null
	 * @return the reply, or empty if the hub does not know this daemon yet
	 * @throws PeerException if no valid reply arrives before the timeout
	 */
	Optional<Reply> report(Address hub, WorkReport report) throws PeerException;

	/**
	 * Reads the work of the daemons of another data centre.
	 * @param hub the address of its hub, not null
	 * @param sender the name of this daemon, not null
	 * @return the sums, or empty if the hub does not know this daemon yet
	 * @throws PeerException if no valid reply arrives before the timeout
	 */
	Optional<WorkTotal> total(Address hub, String sender) throws PeerException;

	/**
	 * Reply to a report. Immutable and thread-safe.
	 *
	 * @param total the work of all daemons that the hub hears of
	 * @param ownSequence the number of the report of the sender that it contains, or
	 * empty if it contains none
	 */
	record Reply(WorkTotal total, OptionalLong ownSequence) {

	}

}
