package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Order to change the setup of an engine. It specifies the complete desired state instead
 * of a change, so that it is idempotent. Immutable and thread-safe.
 *
 * @param fencing the fencing number of the sender's lease, positive
 * @param expected the current setup according to the engine's last report, not null
 * @param desired the setup that the engine is to serve, not null
 */
public record EngineOrder(long fencing, EngineSetup expected, EngineSetup desired) {

	/**
	 * Creates an order.
	 * @param fencing the fencing number of the sender's lease, positive
	 * @param expected the current setup according to the engine's last report, not null
	 * @param desired the setup that the engine is to serve, not null
	 */
	public EngineOrder {
		if (fencing < 1) {
			throw new IllegalArgumentException("fencing number " + fencing + " is not positive");
		}
		Objects.requireNonNull(expected, "expected");
		Objects.requireNonNull(desired, "desired");
	}

}
