package org.mulberrycross.platform;

import org.mulberrycross.Address;

/**
 * An instance that the platform runs. Immutable and thread-safe.
 *
 * @param name the name of the daemon or upstream on it
 * @param role what runs on it
 * @param address the address that it serves on
 * @param incarnation its start time in milliseconds, 0 if the platform does not say
 * @param leaving whether the platform is about to stop it
 */
public record Instance(String name, Role role, Address address, long incarnation, boolean leaving) {

	/**
	 * Roles of instances.
	 */
	public enum Role {

		/** A router daemon. */
		ROUTER,

		/** A model engine. */
		ENGINE,

		/** A plain service. */
		SERVICE,

		/** Something that the router does not talk to. */
		OTHER

	}

}
