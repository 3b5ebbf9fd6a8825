package org.mulberrycross.engine;

import java.util.Objects;

import org.mulberrycross.Address;

/**
 * Engine with its desired setup, to which orders are sent. Immutable and thread-safe.
 *
 * @param name the name of the engine, not null
 * @param address the address for orders and reports, not null
 * @param desired the desired setup, not null
 * @param checksFencing whether the engine refuses orders with an outdated fencing number
 */
public record ManagedEngine(String name, Address address, EngineSetup desired, boolean checksFencing) {

	/**
	 * Creates an engine.
	 * @param name the name of the engine, not null
	 * @param address the address for orders and reports, not null
	 * @param desired the desired setup, not null
	 * @param checksFencing whether the engine refuses outdated fencing numbers
	 */
	public ManagedEngine {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(desired, "desired");
	}

}
