package org.mulberrycross.sibling;

import java.util.List;

/**
 * Gossip message. Encoded it has at most {@link Gossip#MAX_DIGEST_BYTES} bytes. Immutable
 * and thread-safe.
 *
 * @param protocol the version of the protocol
 * @param sender the sender with its incarnation
 * @param generation the configuration generation in force at the sender, 0 for none
 * @param leaving upstreams that are leaving; null means none
 * @param health health of engines; null means none
 * @param load load of engines; null means none
 * @param members other daemons; null means none
 */
public record Digest(int protocol, Member sender, long generation, List<LeavingNotice> leaving,
		List<HealthReport> health, List<LoadReport> load, List<Member> members) {

	/**
	 * The version of the protocol between daemons.
	 */
	public static final int PROTOCOL = 1;

	/**
	 * Creates a digest.
	 * @param protocol the version of the protocol
	 * @param sender the sender with its incarnation
	 * @param generation the configuration generation in force at the sender
	 * @param leaving upstreams that are leaving; null means none
	 * @param health health of engines; null means none
	 * @param load load of engines; null means none
	 * @param members other daemons; null means none
	 */
	public Digest {
		leaving = (leaving != null) ? List.copyOf(leaving) : List.of();
		health = (health != null) ? List.copyOf(health) : List.of();
		load = (load != null) ? List.copyOf(load) : List.of();
		members = (members != null) ? List.copyOf(members) : List.of();
	}

}
