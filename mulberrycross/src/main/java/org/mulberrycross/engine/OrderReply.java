package org.mulberrycross.engine;

import java.util.Objects;

/**
 * An engine's answer to an order. Immutable and thread-safe.
 *
 * @param accepted whether the engine acts on the order
 * @param reason why it does not, empty if it does
 * @param report the state after the order, not null
 */
public record OrderReply(boolean accepted, String reason, EngineReport report) {

	/**
	 * Creates a reply.
	 * @param accepted whether the engine acts on the order
	 * @param reason why it does not, not null
	 * @param report the state after the order, not null
	 */
	public OrderReply {
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(report, "report");
	}

}
