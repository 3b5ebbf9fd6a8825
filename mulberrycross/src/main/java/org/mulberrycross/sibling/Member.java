package org.mulberrycross.sibling;

import org.mulberrycross.Address;

/**
 * Description of a daemon, which the daemon creates and others forward unchanged.
 * Immutable and thread-safe.
 *
 * @param name the name of the daemon, unique among all daemons
 * @param address the address on which it serves requests of siblings
 * @param incarnation its start time in milliseconds, higher after each restart
 * @param heartbeat a counter that the daemon increments once a second
 */
public record Member(String name, Address address, long incarnation, long heartbeat) {

	/**
	 * Checks whether this description is newer than another one of the same daemon.
	 * @param other the other description, not null
	 * @return true if the incarnation is higher, or the same with a higher heartbeat
	 */
	public boolean isNewerThan(Member other) {
		return (this.incarnation != other.incarnation) ? this.incarnation > other.incarnation
				: this.heartbeat > other.heartbeat;
	}

}
