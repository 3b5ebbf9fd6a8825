package org.mulberrycross.standins.engine;

import java.io.IOException;
import java.util.Map;
import java.util.Objects;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.engine.EngineOrder;
import org.mulberrycross.engine.OrderReply;
import org.mulberrycross.engine.http.HttpOrderClient;
import org.mulberrycross.http.HttpMessages;
import org.mulberrycross.http.Json;

/**
 * HTTP interface through which an engine stand-in accepts orders and reports its setup.
 * Thread-safe.
 */
public final class OrderHandler extends HttpHandler {

	private static final int MAX_BODY_BYTES = 64 << 10;

	private final OrderedSetup setup;

	/**
	 * Creates a handler.
	 * @param setup the setup that orders change, not null
	 */
	public OrderHandler(OrderedSetup setup) {
		this.setup = Objects.requireNonNull(setup, "setup");
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		if (request.getRequestURI().equals(HttpOrderClient.STATE_PATH)) {
			HttpMessages.writeJson(response, 200, this.setup.report());
			return;
		}
		byte[] body = HttpMessages.readBody(request, MAX_BODY_BYTES).orElse(new byte[0]);
		try {
			OrderReply reply = this.setup
				.applyOrder(Json.decode(body, EngineOrder.class, new Peer(Peer.Kind.CALLER, "")));
			HttpMessages.writeJson(response, reply.accepted() ? 200 : HttpOrderClient.REFUSED_STATUS, reply);
		}
		catch (PeerException ex) {
			HttpMessages.writeJson(response, 400, Map.of("error", ex.getMessage()));
		}
	}

}
