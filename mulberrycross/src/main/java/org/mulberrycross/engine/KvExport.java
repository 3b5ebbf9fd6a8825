package org.mulberrycross.engine;

import java.time.Duration;

import org.mulberrycross.PeerException;

/**
 * Reads the KV cache of a stream from an engine. Implementations are thread-safe and
 * block until the reply or the timeout.
 */
@FunctionalInterface
public interface KvExport {

	/**
	 * Reads the cache of one stream.
	 * @param stage the stage whose engine to read from, not null
	 * @param stream the identifier of the stream, not null
	 * @param timeout the maximum wait, positive
	 * @return the cache as received; the caller checks that it fits
	 * @throws PeerException if the engine does not answer or holds no cache of the stream
	 */
	KvCache exportCache(Stage stage, String stream, Duration timeout) throws PeerException;

}
