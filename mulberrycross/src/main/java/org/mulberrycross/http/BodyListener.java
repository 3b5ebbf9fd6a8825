package org.mulberrycross.http;

/**
 * Receives the body of a response piece by piece, before the response is complete. Called
 * on a selector thread, so implementations must not block.
 */
@FunctionalInterface
public interface BodyListener {

	/** Ignores the parts; the {@link HttpReply} holds the complete body in any case. */
	BodyListener NONE = (part) -> {
	};

	/**
	 * Receives the next part of the body.
	 * @param part the bytes, not empty; split without regard to message boundaries
	 */
	void onData(byte[] part);

}
