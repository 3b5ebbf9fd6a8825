package org.mulberrycross.engine;

import java.time.Duration;

import org.mulberrycross.PeerException;

/**
 * Hands the KV cache of a stream to an engine. Implementations are thread-safe and block
 * until the answer or the timeout.
 */
@FunctionalInterface
public interface KvImport {

	/**
	 * Hands over a cache.
	 * @param stage the engine, not null
	 * @param cache the cache, not null
	 * @param timeout the bound on the wait, positive
	 * @throws PeerException if the engine did not confirm that it holds the cache
	 */
	void importCache(Stage stage, KvCache cache, Duration timeout) throws PeerException;

}
