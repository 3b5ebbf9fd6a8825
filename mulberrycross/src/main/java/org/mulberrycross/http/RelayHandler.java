package org.mulberrycross.http;

/**
 * Takes requests that were read whole.
 */
@FunctionalInterface
public interface RelayHandler {

	/**
	 * Takes a request. Runs on a selector thread and must not block.
	 * @param request the request, not null
	 * @param response where the response goes, not null
	 */
	void handle(RelayRequest request, ResponseWriter response);

}
