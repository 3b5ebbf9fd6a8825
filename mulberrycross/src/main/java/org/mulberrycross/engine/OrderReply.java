package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Reply of an engine to an order. Immutable and thread-safe.
 *
 * @param accepted whether the engine executes the order
 * @param reason the reason for a refusal, empty if accepted, not null
 * @param report the state of the engine after it received the order, not null
 */
public record OrderReply(boolean accepted, String reason, EngineSetupReport report) {

	/**
	 * Creates a reply.
	 * @param accepted whether the engine executes the order
	 * @param reason the reason for a refusal, empty if accepted, not null
	 * @param report the state of the engine after it received the order, not null
	 */
	public OrderReply {
		Objects.requireNonNull(reason, "reason");
		Objects.requireNonNull(report, "report");
	}

}
