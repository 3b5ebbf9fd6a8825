package org.mulberrycross.router.relay;

import java.time.Duration;

import org.mulberrycross.PeerException;
import org.mulberrycross.engine.EngineInstance;

/**
 * Asks an engine for its speed and for the engines that stall its requests.
 * Implementations are thread-safe; calls block.
 */
@FunctionalInterface
public interface EngineReporter {

	/**
	 * Asks an engine for its report. Blocks until it replies.
	 * @param engine the engine, not null
	 * @param timeout the timeout of the call, positive
	 * @return the report
	 * @throws PeerException if there is no reply
	 */
	EngineReport report(EngineInstance engine, Duration timeout) throws PeerException;

}
