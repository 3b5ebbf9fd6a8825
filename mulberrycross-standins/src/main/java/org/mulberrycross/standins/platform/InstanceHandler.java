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
import org.mulberrycross.platform.http.InstanceMessages;

/**
 * HTTP interface of the instance list: {@code GET /instances}, and for tests
 * {@code PUT /instances} with one instance and {@code DELETE /instances/{name}}.
 * Thread-safe.
 */
public final class InstanceHandler extends HttpHandler {

	private static final String PATH_PREFIX = "/instances/";

	private static final int MAX_BODY_BYTES = 1 << 16;

	private final InstanceTable table;

	/**
	 * Creates a handler.
	 * @param table the instances to list and to edit, not null
	 */
	public InstanceHandler(InstanceTable table) {
		this.table = table;
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		switch (request.getMethod().getMethodString()) {
			case "GET" -> HttpMessages.writeJson(response, 200, new InstanceMessages.Instances(this.table.list()));
			case "PUT" -> putInstance(request, response);
			case "DELETE" -> {
				this.table.remove(request.getDecodedRequestURI().substring(PATH_PREFIX.length()));
				HttpMessages.writeJson(response, 200, Map.of());
			}
			default -> HttpMessages.writeJson(response, 405, Map.of("error", "method not allowed"));
		}
	}

	private void putInstance(Request request, Response response) throws IOException {
		byte[] body = HttpMessages.readBody(request, MAX_BODY_BYTES).orElse(new byte[0]);
		try {
			this.table.put(Json.decode(body, InstanceMessages.Item.class, new Peer(Peer.Kind.OPERATOR, "")));
			HttpMessages.writeJson(response, 200, Map.of());
		}
		catch (PeerException ex) {
			HttpMessages.writeJson(response, 400, Map.of("error", ex.getMessage()));
		}
	}

}
