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

	private final String name;

	/**
	 * Creates a client.
	 * @param client the HTTP client, not null; not closed by this class
	 * @param name the name of this daemon, sent with each query; not null
	 */
	public HttpChangesClient(HttpClient client, String name) {
		this.client = Objects.requireNonNull(client, "client");
		this.name = Objects.requireNonNull(name, "name");
	}

	@Override
	public ChangesReply request(Address address, ChangesQuery query, Duration timeout) throws PeerException {
		Peer peer = new Peer(Peer.Kind.SIBLING, address.toString());
		HttpCall call = HttpCall.get(Step.WATCH, peer, address, ChangesCodec.encodeQuery(query, this.name), timeout)
			.withMaxReplyBytes(ChangesCodec.MAX_REPLY_BYTES);
		return ChangesCodec.decode(this.client.send(call), query.kind(), peer);
	}

}
