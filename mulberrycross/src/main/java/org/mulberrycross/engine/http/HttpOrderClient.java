package org.mulberrycross.engine.http;

import java.time.Duration;
import java.util.Objects;

import org.mulberrycross.Address;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.engine.EngineOrder;
import org.mulberrycross.engine.EngineSetupReport;
import org.mulberrycross.engine.OrderClient;
import org.mulberrycross.engine.OrderReply;
import org.mulberrycross.engine.ReportClient;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.http.Json;

/**
 * Sends orders by {@code POST /v1/orders} and reads reports by {@code GET /v1/state}.
 * Thread-safe.
 */
public final class HttpOrderClient implements OrderClient, ReportClient {

	/** Path to which orders are posted. */
	public static final String ORDERS_PATH = "/v1/orders";

	/** Path from which the state report is read. */
	public static final String STATE_PATH = "/v1/state";

	/** Status of the reply to a refused order; the body is an {@link OrderReply}. */
	public static final int REFUSED_STATUS = 409;

	private final HttpClient client;

	/**
	 * Creates a client.
	 * @param client the HTTP client, not null; the caller closes it
	 */
	public HttpOrderClient(HttpClient client) {
		this.client = Objects.requireNonNull(client, "client");
	}

	@Override
	public OrderReply sendOrder(String engine, Address address, EngineOrder order, Duration timeout)
			throws PeerException {
		Peer peer = new Peer(Peer.Kind.ENGINE, engine);
		HttpReply reply = this.client
			.send(HttpCall.post(Step.ORDER, peer, address, ORDERS_PATH, Json.encode(order), timeout));
		if (!reply.isSuccess() && reply.status() != REFUSED_STATUS) {
			throw new OutcomeUnknownException(Step.ORDER, peer,
					"engine answered the order with status " + reply.status(), null);
		}
		return Json.decode(reply.body(), OrderReply.class, peer);
	}

	@Override
	public EngineSetupReport readReport(String engine, Address address, Duration timeout) throws PeerException {
		Peer peer = new Peer(Peer.Kind.ENGINE, engine);
		HttpReply reply = this.client.send(HttpCall.get(Step.READ_REPORT, peer, address, STATE_PATH, timeout));
		if (!reply.isSuccess()) {
			throw new PeerException(Step.READ_REPORT, peer,
					"engine answered the state request with status " + reply.status());
		}
		return Json.decode(reply.body(), EngineSetupReport.class, peer);
	}

}
