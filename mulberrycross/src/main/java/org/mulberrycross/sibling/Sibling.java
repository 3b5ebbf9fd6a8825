package org.mulberrycross.sibling;

import java.util.Objects;

import org.mulberrycross.Address;

/**
 * A daemon that other daemons can send messages to, as registered in the platform's
 * store. Immutable and thread-safe.
 *
 * @param name the name of the daemon, unique among all daemons, not null
 * @param address the address for messages from other daemons, not null
 * @param dataCentre the data centre that the daemon runs in, not null
 * @param incarnation the time at which the daemon started, in milliseconds since 1970
 */
public record Sibling(String name, Address address, String dataCentre, long incarnation) {

	/**
	 * Creates a description.
	 * @param name the name of the daemon, not null
	 * @param address the address for messages from other daemons, not null
	 * @param dataCentre the data centre that the daemon runs in, not null
	 * @param incarnation the time at which the daemon started
	 */
	public Sibling {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(dataCentre, "dataCentre");
	}

}
