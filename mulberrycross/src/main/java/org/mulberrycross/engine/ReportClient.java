package org.mulberrycross.engine;

import java.time.Duration;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;

/**
 * Reads the state reports of engines. Implementations are thread-safe and block until the
 * report or the timeout.
 */
@FunctionalInterface
public interface ReportClient {

	/**
	 * Reads one report.
	 * @param engine the name of the engine, not null
	 * @param address the address of the engine, not null
	 * @param timeout the bound on the whole exchange, positive
	 * @return the report
	 * @throws PeerException if no valid report came in time
	 */
	EngineReport report(String engine, Address address, Duration timeout) throws PeerException;

}
