package org.mulberrycross.platform;

import org.mulberrycross.Address;

/**
 * An instance that the platform runs. Immutable and thread-safe.
 *
 * @param name the name of the daemon or upstream on it
 * @param role the kind of program that runs on it
 * @param address the address that it serves on
 * @param incarnation its start time in milliseconds, which identifies a restart; 0 if it
 * is unknown
 * @param leaving whether the platform is about to stop the instance
 */
public record Instance(String name, Role role, Address address, long incarnation, boolean leaving) {

	/**
	 * Kinds of programs that run on instances.
	 */
	public enum Role {

		/** A router daemon. */
		ROUTER,

		/** A model engine. */
		ENGINE,

		/** A plain service. */
		SERVICE,

		/** Any program that the router does not communicate with. */
		OTHER

	}

}
