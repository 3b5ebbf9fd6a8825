package org.mulberrycross.engine;

import java.util.Objects;

import org.mulberrycross.Address;

/**
 * An engine that gets orders. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param address the address, not null
 * @param desired the desired setup, not null
 * @param checksFencing whether it refuses orders with an old fencing number
 */
public record OrderedEngine(String name, Address address, EngineSetup desired, boolean checksFencing) {

	/**
	 * Creates an engine.
	 * @param name the name, not null
	 * @param address the address, not null
	 * @param desired the desired setup, not null
	 * @param checksFencing whether it refuses orders with an old fencing number
	 */
	public OrderedEngine {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(desired, "desired");
	}

}
