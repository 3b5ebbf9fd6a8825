package org.mulberrycross.standins.platform;

import java.io.IOException;
import java.util.Map;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.http.HttpMessages;
import org.mulberrycross.http.Json;

/**
 * Sets the faults of the object API by {@code PUT /faults} with the JSON form of
 * {@link FaultSwitches.Settings}, and serves the number of calls by method at
 * {@code GET /calls}. Thread-safe.
 */
public final class FaultHandler extends HttpHandler {

	private static final int MAX_BODY_BYTES = 4096;

	private final FaultSwitches switches;

	/**
	 * Creates a handler.
	 * @param switches the switches to set and to read, not null
	 */
	public FaultHandler(FaultSwitches switches) {
		this.switches = switches;
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		if (request.getMethod().getMethodString().equals("GET")) {
			HttpMessages.writeJson(response, 200, this.switches.callCounts());
			return;
		}
		try {
			byte[] body = HttpMessages.readBody(request, MAX_BODY_BYTES).orElse(new byte[0]);
			this.switches.set(Json.decode(body, FaultSwitches.Settings.class, new Peer(Peer.Kind.OPERATOR, "")));
			HttpMessages.writeJson(response, 200, Map.of());
		}
		catch (PeerException ex) {
			HttpMessages.writeJson(response, 400, Map.of("error", ex.getMessage()));
		}
	}

}
