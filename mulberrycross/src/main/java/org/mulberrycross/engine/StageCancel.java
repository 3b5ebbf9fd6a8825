package org.mulberrycross.engine;

import java.time.Duration;

import org.mulberrycross.PeerException;

/**
 * Tells an engine that a stream ended, so that it frees the stream's cache.
 * Implementations are thread-safe and block until the answer or the timeout.
 */
@FunctionalInterface
public interface StageCancel {

	/**
	 * Cancels a stream on one engine.
	 * @param stage the engine, not null
	 * @param stream the identifier of the stream, not null
	 * @param attempt the last attempt of the stream
	 * @param timeout the bound on the wait, positive
	 * @throws PeerException if the engine did not confirm
	 */
	void cancel(Stage stage, String stream, int attempt, Duration timeout) throws PeerException;

}
