package org.mulberrycross.sibling;

import java.util.List;

/**
 * Asks a daemon for parts of the limits of the teams that it owns. Immutable and
 * thread-safe.
 *
 * @param protocol the version of the protocol
 * @param sender the borrower with its incarnation
 * @param sequence a number that the borrower raises with every request to any daemon
 * @param items the teams; null means none
 */
public record ShareRequest(int protocol, Member sender, long sequence, List<Item> items) {

	/**
	 * Creates a request.
	 * @param protocol the version of the protocol
	 * @param sender the borrower with its incarnation
	 * @param sequence a number that the borrower raises with every request
	 * @param items the teams; null means none
	 */
	public ShareRequest {
		items = (items != null) ? List.copyOf(items) : List.of();
	}

	/**
	 * What the borrower says about one team. Immutable and thread-safe.
	 *
	 * @param team the name of the team
	 * @param held the part that the borrower holds now, whoever granted it; the borrower
	 * takes no more than this until the reply
	 * @param running the number of the team's requests that run at the borrower
	 * @param wanted the part that the borrower could use; 0 gives the whole part back
	 */
	public record Item(String team, int held, int running, int wanted) {

	}

}
