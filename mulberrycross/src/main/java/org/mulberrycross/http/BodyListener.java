package org.mulberrycross.http;

/**
 * Receives the body of a response as it arrives. Called on a selector thread, so
 * implementations must not block.
 */
@FunctionalInterface
public interface BodyListener {

	/** Listener that ignores the parts; the reply still holds the whole body. */
	BodyListener NONE = (part) -> {
	};

	/**
	 * Receives the next part.
	 * @param part the bytes, not empty
	 */
	void received(byte[] part);

}
