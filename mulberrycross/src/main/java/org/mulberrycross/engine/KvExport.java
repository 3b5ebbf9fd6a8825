package org.mulberrycross.engine;

import java.time.Duration;

import org.mulberrycross.PeerException;

/**
 * Reads the KV cache of a stream from an engine. Implementations are thread-safe and
 * block until the answer or the timeout.
 */
@FunctionalInterface
public interface KvExport {

	/**
	 * Reads a cache.
	 * @param stage the engine, not null
	 * @param stream the identifier of the stream, not null
	 * @param timeout the bound on the wait, positive
	 * @return the cache as the engine holds it
	 * @throws PeerException if the engine does not answer or holds no cache of the stream
	 */
	KvCache exportCache(Stage stage, String stream, Duration timeout) throws PeerException;

}
