package org.mulberrycross.sibling.http;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.sibling.WorkClient;
import org.mulberrycross.sibling.WorkReport;
import org.mulberrycross.sibling.WorkTotal;

/**
 * Exchanges figures on work with other daemons over HTTP. Thread-safe.
 */
public final class HttpWorkClient implements WorkClient {

	private static final int STATUS_FORBIDDEN = 403;

	private static final byte[] NO_BODY = {};

	private final HttpClient client;

	private final Duration timeout;

	/**
	 * Creates a client.
	 * @param client the HTTP client, not null; not closed by this class
	 * @param timeout the maximum duration of one request, positive
	 */
	public HttpWorkClient(HttpClient client, Duration timeout) {
		this.client = Objects.requireNonNull(client, "client");
		this.timeout = Objects.requireNonNull(timeout, "timeout");
	}

	@Override
	public Optional<Reply> report(Address hub, WorkReport report) throws PeerException {
		Peer peer = peer(hub);
		Optional<HttpReply> reply = send(hub, "POST", WorkHandler.REPORT_PATH, WorkCodec.encode(report));
		if (reply.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new Reply(WorkCodec.decodeTotal(reply.get().body(), peer), ownSequence(reply.get(), peer)));
	}

	private static OptionalLong ownSequence(HttpReply reply, Peer peer) throws PeerException {
		Optional<String> value = reply.header(WorkHandler.SEQUENCE_HEADER);
		if (value.isEmpty()) {
			return OptionalLong.empty();
		}
		try {
			return OptionalLong.of(Long.parseLong(value.get()));
		}
		catch (NumberFormatException ex) {
			throw new PeerException(Step.CODEC, peer, "sequence number of the reply is not a number", ex);
		}
	}

	@Override
	public Optional<WorkTotal> total(Address hub, String sender) throws PeerException {
		Optional<HttpReply> reply = send(hub, "GET", WorkHandler.TOTAL_PATH + "?" + sender, NO_BODY);
		if (reply.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(WorkCodec.decodeTotal(reply.get().body(), peer(hub)));
	}

	private Optional<HttpReply> send(Address hub, String method, String path, byte[] body) throws PeerException {
		HttpReply reply = this.client.send(new HttpCall(Step.EXCHANGE_LOAD, peer(hub), hub, method, path, Map.of(),
				body, this.timeout, false, SiblingServer.MAX_BODY_BYTES));
		if (reply.status() == STATUS_FORBIDDEN) {
			return Optional.empty();
		}
		if (!reply.isSuccess()) {
			throw new NotRunException(Step.EXCHANGE_LOAD, peer(hub), "sibling answered with status " + reply.status());
		}
		return Optional.of(reply);
	}

	private static Peer peer(Address address) {
		return new Peer(Peer.Kind.SIBLING, address.toString());
	}

}
