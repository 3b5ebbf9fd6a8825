package org.mulberrycross.engine;

import java.util.Objects;

/**
 * An order to an engine. Names a state and no change, so that the same order may arrive
 * twice. Immutable and thread-safe.
 *
 * @param fencing the fencing number of the sender's lease, positive
 * @param expected the setup that the engine serves by its last report, not null
 * @param desired the setup that it has to serve, not null
 */
public record EngineOrder(long fencing, EngineSetup expected, EngineSetup desired) {

	/**
	 * Creates an order.
	 * @param fencing the fencing number of the sender's lease, positive
	 * @param expected the setup that the engine serves by its last report, not null
	 * @param desired the setup that it has to serve, not null
	 */
	public EngineOrder {
		if (fencing < 1) {
			throw new IllegalArgumentException("fencing number " + fencing + " is not positive");
		}
		Objects.requireNonNull(expected, "expected");
		Objects.requireNonNull(desired, "desired");
	}

}
