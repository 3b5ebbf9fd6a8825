package org.mulberrycross.router.relay;

/**
 * What an engine answers to an order.
 */
public enum PlacementReply {

	/** The order has begun, or its state holds already. */
	ACCEPTED,

	/** The order does not fit the engine's state, or another order came first. */
	CONFLICT,

	/** Another planner has used a higher fencing number. */
	FENCED,

	/** The engine is another one, or knows no such order. */
	REFUSED

}
