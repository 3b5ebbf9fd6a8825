package org.mulberrycross.service;

/**
 * Runs calls to services. Implementations are thread-safe and block for a bounded time.
 */
@FunctionalInterface
public interface ServiceGateway {

	/**
	 * Runs a call and retries it on other upstreams where that is safe.
	 * @param call the call, not null
	 * @param idempotent whether the call may be repeated; otherwise it must have an
	 * idempotency key
	 * @return the answer to the caller; errors are answers too
	 */
	CallAnswer call(ServiceCall call, boolean idempotent);

}
