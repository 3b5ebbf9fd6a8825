package org.mulberrycross.sibling;

import java.util.List;

/**
 * Gossip message, used both as the request and as the reply of an exchange. Its encoded
 * size is at most {@link Gossip#MAX_DIGEST_BYTES} bytes. Immutable and thread-safe.
 *
 * @param protocol the version of the protocol
 * @param sender the description of the sending daemon
 * @param generation the configuration generation in force at the sender, 0 for none
 * @param leaving the upstreams that are leaving; null is treated as empty
 * @param health the health of engines; null is treated as empty
 * @param load the load of engines; null is treated as empty
 * @param members some of the daemons known to the sender; null is treated as empty
 */
public record Digest(int protocol, Member sender, long generation, List<LeavingNotice> leaving,
		List<HealthReport> health, List<LoadReport> load, List<Member> members) {

	/**
	 * The version of the protocol between daemons that this code implements.
	 */
	public static final int PROTOCOL = 1;

	/**
	 * Creates a digest. A null list is replaced by an empty one, since siblings with
	 * another version may omit a field.
	 * @param protocol the version of the protocol
	 * @param sender the description of the sending daemon
	 * @param generation the configuration generation in force at the sender, 0 for none
	 * @param leaving the upstreams that are leaving; null is treated as empty
	 * @param health the health of engines; null is treated as empty
	 * @param load the load of engines; null is treated as empty
	 * @param members some of the daemons known to the sender; null is treated as empty
	 */
	public Digest {
		leaving = (leaving != null) ? List.copyOf(leaving) : List.of();
		health = (health != null) ? List.copyOf(health) : List.of();
		load = (load != null) ? List.copyOf(load) : List.of();
		members = (members != null) ? List.copyOf(members) : List.of();
	}

}
