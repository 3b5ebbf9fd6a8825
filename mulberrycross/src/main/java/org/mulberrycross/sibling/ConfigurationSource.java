package org.mulberrycross.sibling;

import java.util.function.Consumer;

/**
 * Answers the queries of siblings for the newest configuration. Callable on any thread.
 */
@FunctionalInterface
public interface ConfigurationSource {

	/**
	 * Answers a query. Must not block.
	 * @param version the newest version that the sibling knows
	 * @param onReply receives the reply, at once or later and on any thread, not null
	 */
	void request(long version, Consumer<ConfigurationReply> onReply);

}
