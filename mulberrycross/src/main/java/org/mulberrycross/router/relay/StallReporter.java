package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Set;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;
import org.mulberrycross.engine.EngineInstance;

/**
 * Asks the first engine of a path which engines stall its requests. Implementations are
 * thread-safe; calls block.
 */
@FunctionalInterface
public interface StallReporter {

	/**
	 * Asks an engine for the stalled engines. Blocks until it replies.
	 * @param engine the first engine of a path, not null
	 * @param timeout the timeout of the call, positive
	 * @return the addresses of the engines that requests on this engine wait for
	 * @throws PeerException if there is no reply
	 */
	Set<Address> stalledEngines(EngineInstance engine, Duration timeout) throws PeerException;

}
