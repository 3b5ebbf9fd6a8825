package org.mulberrycross.sibling;

import org.mulberrycross.Address;

/**
 * A daemon as it describes itself. Immutable and thread-safe.
 *
 * @param name the name of the daemon, unique over all daemons
 * @param address the address that it serves siblings on
 * @param incarnation its start time in milliseconds; a restarted daemon has a higher one
 * @param heartbeat a counter that the daemon raises once a second
 */
public record Member(String name, Address address, long incarnation, long heartbeat) {

	/**
	 * Returns whether this description is newer than another one of the same daemon.
	 * @param other the other description, not null
	 * @return true if the incarnation is higher, or the same with a higher heartbeat
	 */
	public boolean newerThan(Member other) {
		return (this.incarnation != other.incarnation) ? this.incarnation > other.incarnation
				: this.heartbeat > other.heartbeat;
	}

}
