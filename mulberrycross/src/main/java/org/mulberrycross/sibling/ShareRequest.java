package org.mulberrycross.sibling;

import java.util.List;

/**
 * Requests shares of the limits of teams that the receiver owns. Immutable and
 * thread-safe.
 *
 * @param protocol the version of the protocol
 * @param sender the description of the borrower
 * @param sequence a number that the borrower increments with each request to any daemon
 * @param items an item for each requested team; null is treated as empty
 */
public record ShareRequest(int protocol, Member sender, long sequence, List<Item> items) {

	/** Maximum number of items in one request, at about 50 bytes each. */
	public static final int MAX_ITEMS = 200;

	/**
	 * Creates a request. A null list is replaced by an empty one, since siblings with
	 * another version may omit a field.
	 * @param protocol the version of the protocol
	 * @param sender the description of the borrower
	 * @param sequence a number that the borrower increments with every request
	 * @param items an item for each requested team; null is treated as empty
	 */
	public ShareRequest {
		items = (items != null) ? List.copyOf(items) : List.of();
	}

	/**
	 * The borrower's state and demand for one team. Immutable and thread-safe.
	 *
	 * @param team the name of the team
	 * @param held the number of slots that the borrower holds, whichever daemon granted
	 * them; it uses no more than these until the reply arrives
	 * @param running the number of the team's requests that run at the borrower
	 * @param wanted the number of slots that the borrower could use; 0 returns all slots
	 */
	public record Item(String team, int held, int running, int wanted) {

	}

}
