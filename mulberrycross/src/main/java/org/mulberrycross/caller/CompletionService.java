package org.mulberrycross.caller;

/**
 * Serves completion requests. Implementations are thread-safe and return at once; the
 * answer follows on another thread.
 */
@FunctionalInterface
public interface CompletionService {

	/**
	 * Serves a request.
	 * @param request the request, not null
	 * @param answer receives the answer, not null; always ended by the service
	 */
	void serve(CallerRequest request, CallerAnswer answer);

}
