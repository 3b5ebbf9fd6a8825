package org.mulberrycross.sibling.http;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.sibling.Digest;
import org.mulberrycross.sibling.ShareReply;
import org.mulberrycross.sibling.ShareRequest;
import org.mulberrycross.sibling.SiblingClient;

/**
 * Sends requests to other daemons over HTTP. Thread-safe.
 */
public final class HttpSiblingClient implements SiblingClient {

	private static final int STATUS_NOT_FOUND = 404;

	private final HttpClient client;

	private final Duration timeout;

	/**
	 * Creates a client.
	 * @param client the HTTP client, not null; not closed by this class
	 * @param timeout the maximum duration of one request, positive
	 */
	public HttpSiblingClient(HttpClient client, Duration timeout) {
		this.client = Objects.requireNonNull(client, "client");
		this.timeout = Objects.requireNonNull(timeout, "timeout");
	}

	@Override
	public Digest exchangeDigests(Address address, Digest digest) throws PeerException {
		return post(Step.GOSSIP, address, SiblingHandler.GOSSIP_PATH, SiblingCodec.encode(digest), Digest.class);
	}

	@Override
	public ShareReply requestShares(Address address, ShareRequest request) throws PeerException {
		return post(Step.BORROW_SHARE, address, SiblingHandler.SHARES_PATH, SiblingCodec.encode(request),
				ShareReply.class);
	}

	@Override
	public Optional<byte[]> configurationHead(Address address) throws PeerException {
		return get(address, SiblingHandler.HEAD_PATH);
	}

	@Override
	public Optional<byte[]> configurationChunk(Address address, String digest) throws PeerException {
		return get(address, SiblingHandler.CONFIGURATION_PATH + "/" + digest);
	}

	private <T extends Record> T post(Step step, Address address, String path, byte[] json, Class<T> type)
			throws PeerException {
		Peer peer = peer(address);
		HttpReply reply = this.client.send(HttpCall.post(step, peer, address, path, json, this.timeout));
		if (!reply.isSuccess()) {
			throw new NotRunException(step, peer, "sibling answered with status " + reply.status());
		}
		return SiblingCodec.decode(reply.body(), type, peer);
	}

	private Optional<byte[]> get(Address address, String path) throws PeerException {
		Peer peer = peer(address);
		HttpReply reply = this.client.send(HttpCall.get(Step.GOSSIP, peer, address, path, this.timeout));
		if (reply.status() == STATUS_NOT_FOUND) {
			return Optional.empty();
		}
		if (!reply.isSuccess()) {
			throw new NotRunException(Step.GOSSIP, peer, "sibling answered with status " + reply.status());
		}
		return Optional.of(reply.body());
	}

	private static Peer peer(Address address) {
		return new Peer(Peer.Kind.SIBLING, address.toString());
	}

}
