package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Set;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;
import org.mulberrycross.engine.EngineInstance;

/**
 * Asks the first engine of a path which engines it waits for in vain.
 */
@FunctionalInterface
public interface StallReporter {

	/**
	 * Asks an engine. Blocks until it answers.
	 * @param engine the first engine of a path, not null
	 * @param timeout the bound on the call, positive
	 * @return the addresses of engines for which requests on it wait
	 * @throws PeerException if there is no answer
	 */
	Set<Address> stalled(EngineInstance engine, Duration timeout) throws PeerException;

}
