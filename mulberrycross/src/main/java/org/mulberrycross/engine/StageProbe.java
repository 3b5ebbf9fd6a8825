package org.mulberrycross.engine;

import java.time.Duration;

import org.mulberrycross.PeerException;

/**
 * Checks on a new connection whether an engine answers. Implementations are thread-safe
 * and block until the reply or the timeout.
 */
@FunctionalInterface
public interface StageProbe {

	/**
	 * Probes an engine; returns normally if it answers.
	 * @param stage the stage whose engine is probed, not null
	 * @param timeout the maximum wait, positive
	 * @throws PeerException if the engine does not answer in time
	 */
	void probe(Stage stage, Duration timeout) throws PeerException;

}
