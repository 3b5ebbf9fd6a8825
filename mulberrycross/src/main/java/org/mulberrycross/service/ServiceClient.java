package org.mulberrycross.service;

import org.mulberrycross.operator.UpstreamObject;

/**
 * Sends calls to services. Implementations are thread-safe and block for a bounded time.
 */
@FunctionalInterface
public interface ServiceClient {

	/**
	 * Sends a call to one upstream, without retries.
	 * @param call the call, not null
	 * @param upstream the upstream to send it to, not null
	 * @param atMostOnce whether the call must not run twice and therefore needs a
	 * connection that is known to work
	 * @return the outcome; errors are outcomes too
	 */
	CallOutcome send(ServiceCall call, UpstreamObject upstream, boolean atMostOnce);

}
