package org.mulberrycross.engine;

import java.time.Duration;

import org.mulberrycross.PeerException;

/**
 * Asks an engine on a new connection whether it answers at all. Implementations are
 * thread-safe and block until the answer or the timeout.
 */
@FunctionalInterface
public interface StageProbe {

	/**
	 * Probes an engine.
	 * @param stage the engine, not null
	 * @param timeout the bound on the wait, positive
	 * @throws PeerException if the engine does not answer in time
	 */
	void probe(Stage stage, Duration timeout) throws PeerException;

}
