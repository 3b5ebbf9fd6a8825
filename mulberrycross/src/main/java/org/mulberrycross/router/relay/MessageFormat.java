package org.mulberrycross.router.relay;

import org.mulberrycross.caller.ClientCall;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseHead;

/**
 * Wire format of a platform's requests and responses. Implementations are thread-safe.
 */
public interface MessageFormat {

	/**
	 * Decodes the parts of a client's request that routing depends on.
	 * @param request the request, not null
	 * @return the call; parts that cannot be decoded are absent
	 */
	ClientCall decodeRequest(RelayRequest request);

	/**
	 * Encodes the request that is sent to an upstream.
	 * @param request the request of the client, not null
	 * @param forwarding what the router adds, not null
	 * @return the request for the upstream
	 */
	RelayRequest encodeRequest(RelayRequest request, Forwarding forwarding);

	/**
	 * Encodes a request that is sent to a sibling, which handles it like one of its own
	 * clients.
	 * @param request the request of the client, not null
	 * @param forwarding the remaining time and the event after which a stream resumes,
	 * not null
	 * @return the request of the client with these two, and everything else unchanged
	 */
	RelayRequest encodeForSibling(RelayRequest request, Forwarding forwarding);

	/**
	 * Decodes the head of an upstream's response.
	 * @param head the head, not null
	 * @return the decoded head
	 */
	UpstreamResponseHead decodeResponseHead(ResponseHead head);

}
