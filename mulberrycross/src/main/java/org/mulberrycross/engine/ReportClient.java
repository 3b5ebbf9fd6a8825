package org.mulberrycross.engine;

import java.time.Duration;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;

/**
 * Reads the state reports of engines. Implementations are thread-safe and block until the
 * report arrives or the timeout expires.
 */
@FunctionalInterface
public interface ReportClient {

	/**
	 * Reads the current report of an engine.
	 * @param engine the name of the engine, not null
	 * @param address the address of the engine, not null
	 * @param timeout the maximum duration of the exchange, positive
	 * @return the report
	 * @throws PeerException if no valid report arrives before the timeout
	 */
	EngineSetupReport readReport(String engine, Address address, Duration timeout) throws PeerException;

}
