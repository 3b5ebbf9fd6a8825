package org.mulberrycross.sibling;

import java.util.List;

/**
 * Reply to a {@link ShareRequest}. Immutable and thread-safe.
 *
 * @param protocol the version of the protocol
 * @param sender the description of the owner
 * @param leaseMillis the lease time in milliseconds, which the borrower counts from
 * before it sent the request
 * @param grants the shares granted for teams of this owner; null is treated as empty
 */
public record ShareReply(int protocol, Member sender, long leaseMillis, List<Grant> grants) {

	/**
	 * Creates a reply. A null list is replaced by an empty one, since siblings with
	 * another version may omit a field.
	 * @param protocol the version of the protocol
	 * @param sender the description of the owner
	 * @param leaseMillis the lease time in milliseconds
	 * @param grants the granted shares; null is treated as empty
	 */
	public ShareReply {
		grants = (grants != null) ? List.copyOf(grants) : List.of();
	}

	/**
	 * The share of one team's limit that the borrower may use until the lease expires.
	 * Immutable and thread-safe.
	 *
	 * @param team the name of the team
	 * @param amount the number of slots, which replaces what the borrower held
	 */
	public record Grant(String team, int amount) {

	}

}
