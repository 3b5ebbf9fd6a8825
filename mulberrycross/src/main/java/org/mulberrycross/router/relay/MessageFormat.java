package org.mulberrycross.router.relay;

import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.http.MessageHead;
import org.mulberrycross.http.RelayRequest;

/**
 * How a platform writes requests and answers. Implementations are thread-safe.
 */
public interface MessageFormat {

	/**
	 * Reads what a client says of its request.
	 * @param request the request, not null
	 * @return the call; parts that cannot be read count as absent
	 */
	ClientCall decode(RelayRequest request);

	/**
	 * Writes the request that an upstream gets.
	 * @param request the request of the client, not null
	 * @param forwarding what the router adds, not null
	 * @return the request for the upstream
	 */
	RelayRequest encode(RelayRequest request, Forwarding forwarding);

	/**
	 * Reads the head of an upstream's answer.
	 * @param head the head, not null
	 * @return what it says
	 */
	UpstreamAnswer answer(MessageHead head);

}
