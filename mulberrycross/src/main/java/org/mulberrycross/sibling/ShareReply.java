package org.mulberrycross.sibling;

import java.util.List;

/**
 * Answers a {@link ShareRequest}. Immutable and thread-safe.
 *
 * @param protocol the version of the protocol
 * @param sender the owner with its incarnation
 * @param leaseMillis the lease time, counted by the borrower from before it sent the
 * request
 * @param grants the parts, for the teams that the sender owns; null means none
 */
public record ShareReply(int protocol, Member sender, long leaseMillis, List<Grant> grants) {

	/**
	 * Creates a reply.
	 * @param protocol the version of the protocol
	 * @param sender the owner with its incarnation
	 * @param leaseMillis the lease time
	 * @param grants the parts; null means none
	 */
	public ShareReply {
		grants = (grants != null) ? List.copyOf(grants) : List.of();
	}

	/**
	 * The part of one team's limit that the borrower may use until the lease ends.
	 * Immutable and thread-safe.
	 *
	 * @param team the name of the team
	 * @param amount the part; it replaces what the borrower held
	 */
	public record Grant(String team, int amount) {

	}

}
