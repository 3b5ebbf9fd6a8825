package org.mulberrycross.sibling;

import java.util.function.Consumer;

/**
 * Passes changes on to siblings. Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface ChangeSource {

	/**
	 * Replies to a query as soon as there are changes or a newer confirmation.
	 * @param query the query, not null
	 * @param onReply receives the reply at most once, on any thread, possibly before this
	 * method returns; not null
	 * @return withdraws the query, without effect once there was a reply
	 */
	Runnable request(ChangesQuery query, Consumer<ChangesReply> onReply);

}
