package org.mulberrycross.service;

/**
 * Runs callers' calls to services. Implementations are thread-safe and block with a
 * bound.
 */
@FunctionalInterface
public interface ServiceGateway {

	/**
	 * Runs a call.
	 * @param call the call, not null
	 * @param idempotent whether the call may be repeated; otherwise it must have a key
	 * @return the answer
	 */
	CallAnswer call(ServiceCall call, boolean idempotent);

}
