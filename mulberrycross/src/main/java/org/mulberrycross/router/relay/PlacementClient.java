package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.OptionalLong;

import org.mulberrycross.PeerException;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.Placement;

/**
 * Sends placement orders to engines. Implementations are thread-safe; calls block.
 */
public interface PlacementClient {

	/**
	 * Asks an engine how many orders it has begun to execute since it started.
	 * @param engine the engine, not null
	 * @param timeout the timeout of the call, positive
	 * @return the number of orders, or empty while one is in progress
	 * @throws PeerException if there is no reply
	 */
	OptionalLong acceptedOrderCount(EngineInstance engine, Duration timeout) throws PeerException;

	/**
	 * Orders an engine to load layers and to serve them.
	 * @param placement the engine and the layers that it must hold, not null
	 * @param expectedOrders the number of orders that the engine must have begun to
	 * execute before this one, so that a delayed order does not override a newer one
	 * @param fencing the fencing number of the lease under which the order is sent
	 * @param timeout the timeout of the call, positive
	 * @return the reply
	 * @throws PeerException if there is no reply; the order may still be carried out
	 */
	PlacementReply sendOrder(Placement placement, long expectedOrders, long fencing, Duration timeout)
			throws PeerException;

}
