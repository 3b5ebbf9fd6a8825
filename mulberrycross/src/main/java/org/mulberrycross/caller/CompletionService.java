package org.mulberrycross.caller;

/**
 * Serves completion requests asynchronously. Implementations are thread-safe.
 */
@FunctionalInterface
public interface CompletionService {

	/**
	 * Accepts a request and returns at once. The answer is sent on another thread.
	 * @param request the request, not null
	 * @param answer receives the tokens and is always completed or failed, not null
	 */
	void serve(CallerRequest request, CallerAnswer answer);

}
