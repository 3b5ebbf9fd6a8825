package org.mulberrycross.engine;

import java.time.Duration;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;

/**
 * Sends orders to engines. Implementations are thread-safe and block until the reply or
 * the timeout.
 */
@FunctionalInterface
public interface OrderClient {

	/**
	 * Sends one order.
	 * @param engine the name of the engine, not null
	 * @param address the address of the engine, not null
	 * @param order the order, not null
	 * @param timeout the bound on the whole exchange, positive
	 * @return the reply, also if the engine refuses the order
	 * @throws org.mulberrycross.NotRunException if the order did not leave this process
	 * @throws PeerException if it is not known whether the engine acts on the order
	 */
	OrderReply order(String engine, Address address, EngineOrder order, Duration timeout) throws PeerException;

}
