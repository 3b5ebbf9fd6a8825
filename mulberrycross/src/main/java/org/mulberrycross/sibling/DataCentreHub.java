package org.mulberrycross.sibling;

import java.util.Optional;

import org.mulberrycross.Address;

/**
 * Finds the daemon that serves the others of this data centre as their hub: it adds up
 * their loads and passes on what it reads from the platform's store. Each daemon chooses
 * the hub by itself, by rendezvous hashing among the daemons of the data centre that it
 * can reach; nothing is agreed, and two hubs at the same time only cost some messages.
 * Implementations are thread-safe.
 */
public interface DataCentreHub {

	/**
	 * Returns the address of the hub.
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return the address, or empty if this daemon is the hub itself, knows no siblings
	 * or has no address for messages between daemons
	 */
	Optional<Address> address(long nowNanos);

	/**
	 * Records that a request to a hub failed, timed out or was answered late. For some
	 * time another daemon, or this daemon itself, is then the hub for this daemon.
	 * @param hub the address of the hub, not null
	 * @param nowNanos the time on the daemon's monotonic clock
	 */
	void recordFailure(Address hub, long nowNanos);

}
