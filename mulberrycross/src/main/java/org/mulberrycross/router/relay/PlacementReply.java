package org.mulberrycross.router.relay;

/**
 * Reply of an engine to a placement order.
 */
public enum PlacementReply {

	/** The order was started, or the engine holds the layers already. */
	ACCEPTED,

	/**
	 * The order does not match the engine's state, or another order was accepted first.
	 */
	CONFLICT,

	/** Another daemon has sent an order with a higher fencing number. */
	FENCED,

	/**
	 * The address belongs to another engine, or the engine does not support the order.
	 */
	REFUSED

}
