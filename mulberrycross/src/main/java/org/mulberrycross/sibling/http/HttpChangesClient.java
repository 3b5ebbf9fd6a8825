package org.mulberrycross.sibling.http;

import java.time.Duration;
import java.util.Objects;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.sibling.ChangesClient;
import org.mulberrycross.sibling.ChangesQuery;
import org.mulberrycross.sibling.ChangesReply;

/**
 * Asks siblings for changes over HTTP. Thread-safe; calls block.
 */
public final class HttpChangesClient implements ChangesClient {

	private final HttpClient client;

	/**
	 * Creates a client.
	 * @param client the HTTP client, not null; not closed by this class
	 */
	public HttpChangesClient(HttpClient client) {
		this.client = Objects.requireNonNull(client, "client");
	}

	@Override
	public ChangesReply request(Address address, ChangesQuery query, Duration timeout) throws PeerException {
		Peer peer = new Peer(Peer.Kind.SIBLING, address.toString());
		return ChangesCodec.decode(
				this.client.send(HttpCall.get(Step.WATCH, peer, address, ChangesCodec.encodeQuery(query), timeout)),
				peer);
	}

}
