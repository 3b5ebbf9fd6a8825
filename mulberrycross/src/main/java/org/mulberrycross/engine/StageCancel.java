package org.mulberrycross.engine;

import java.time.Duration;

import org.mulberrycross.PeerException;

/**
 * Cancels a stream on an engine, so that the engine frees the stream's KV cache.
 * Implementations are thread-safe and block until the reply or the timeout.
 */
@FunctionalInterface
public interface StageCancel {

	/**
	 * Cancels a stream on one engine.
	 * @param stage the stage whose engine ran the stream, not null
	 * @param stream the identifier of the stream, not null
	 * @param attempt the last attempt of the stream
	 * @param timeout the maximum wait, positive
	 * @throws PeerException if the engine does not confirm in time
	 */
	void cancel(Stage stage, String stream, int attempt, Duration timeout) throws PeerException;

}
