package org.mulberrycross.service;

import org.mulberrycross.operator.UpstreamObject;

/**
 * Sends calls to services. Implementations are thread-safe and block with a bound.
 */
@FunctionalInterface
public interface ServiceClient {

	/**
	 * Sends a call once.
	 * @param call the call, not null
	 * @param upstream the upstream to send it to, not null
	 * @param once whether the call must not be repeated, so that it needs a connection
	 * that is known to work
	 * @return the outcome
	 */
	CallOutcome send(ServiceCall call, UpstreamObject upstream, boolean once);

}
