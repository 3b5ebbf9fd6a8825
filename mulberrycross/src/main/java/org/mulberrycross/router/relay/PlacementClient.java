package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.OptionalLong;

import org.mulberrycross.PeerException;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.Placement;

/**
 * Orders engines to hold layers. Implementations are thread-safe; calls block.
 */
public interface PlacementClient {

	/**
	 * Asks an engine how many orders it has begun since its start.
	 * @param engine the engine, not null
	 * @param timeout the bound on the call, positive
	 * @return the number, or empty while an order is in progress
	 * @throws PeerException if there is no answer
	 */
	OptionalLong ordersTaken(EngineInstance engine, Duration timeout) throws PeerException;

	/**
	 * Sends an order.
	 * @param placement the engine and the layers that it is to hold, not null
	 * @param expectedOrders the number of orders that the engine must have begun, so that
	 * an order that arrives late does not undo a newer one
	 * @param fencing the fencing number of the lease under which the order is given
	 * @param timeout the bound on the call, positive
	 * @return the reply
	 * @throws PeerException if there is no answer; the order may still be carried out
	 */
	PlacementReply order(Placement placement, long expectedOrders, long fencing, Duration timeout) throws PeerException;

}
