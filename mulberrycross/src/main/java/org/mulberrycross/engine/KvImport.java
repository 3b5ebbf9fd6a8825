package org.mulberrycross.engine;

import java.time.Duration;

import org.mulberrycross.PeerException;

/**
 * Sends the KV cache of a stream to an engine. Implementations are thread-safe and block
 * until the reply or the timeout.
 */
@FunctionalInterface
public interface KvImport {

	/**
	 * Sends the cache of one stream.
	 * @param stage the stage whose engine receives it, not null
	 * @param cache the cache, not null
	 * @param timeout the maximum wait, positive
	 * @throws PeerException if the engine did not confirm that it holds the cache
	 */
	void importCache(Stage stage, KvCache cache, Duration timeout) throws PeerException;

}
