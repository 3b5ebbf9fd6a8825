package org.mulberrycross.http;

/**
 * Handles requests received by a {@link RelayServer}.
 */
@FunctionalInterface
public interface RelayHandler {

	/**
	 * Handles a request. Called on a selector thread, so implementations must not block;
	 * the response may be written later and from any thread.
	 * @param request the complete request, not null
	 * @param response writes the response to this request, not null
	 */
	void handle(RelayRequest request, ResponseWriter response);

}
