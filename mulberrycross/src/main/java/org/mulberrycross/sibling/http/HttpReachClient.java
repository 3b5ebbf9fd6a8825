package org.mulberrycross.sibling.http;

import java.time.Duration;
import java.util.Objects;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.sibling.ReachClient;

/**
 * Asks siblings over HTTP whether they reach the upstreams. Thread-safe.
 */
public final class HttpReachClient implements ReachClient {

	private final HttpClient client;

	private final Duration timeout;

	/**
	 * Creates a client.
	 * @param client the HTTP client, not null; not closed by this class
	 * @param timeout the maximum duration of one request, positive
	 */
	public HttpReachClient(HttpClient client, Duration timeout) {
		this.client = Objects.requireNonNull(client, "client");
		this.timeout = Objects.requireNonNull(timeout, "timeout");
	}

	@Override
	public boolean reachesUpstreams(Address address) throws PeerException {
		Peer peer = new Peer(Peer.Kind.SIBLING, address.toString());
		return this.client.send(HttpCall.get(Step.ASK_REACH, peer, address, RelayedRequests.REACH_PATH, this.timeout))
			.isSuccess();
	}

}
