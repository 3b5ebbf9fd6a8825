package org.mulberrycross.engine;

import java.time.Duration;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;

/**
 * Sends orders to engines. Implementations are thread-safe and block until the reply
 * arrives or the timeout expires.
 */
@FunctionalInterface
public interface OrderClient {

	/**
	 * Sends one order.
	 * @param engine the name of the engine, not null
	 * @param address the address of the engine, not null
	 * @param order the order, not null
	 * @param timeout the maximum duration of the exchange, positive
	 * @return the reply, whether the engine accepts or refuses the order
	 * @throws org.mulberrycross.NotRunException if the order did not leave this process
	 * @throws PeerException if it is unknown whether the engine executes the order
	 */
	OrderReply sendOrder(String engine, Address address, EngineOrder order, Duration timeout) throws PeerException;

}
