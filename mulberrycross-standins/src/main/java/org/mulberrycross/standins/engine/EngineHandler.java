package org.mulberrycross.standins.engine;

import java.io.IOException;
import java.util.Map;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.engine.StepRequest;
import org.mulberrycross.http.HttpMessages;
import org.mulberrycross.http.Json;

/**
 * HTTP interface of an engine stand-in. Thread-safe.
 */
public final class EngineHandler extends HttpHandler {

	private static final int MAX_BODY_BYTES = 64 << 20;

	private final EngineStandin engine;

	/**
	 * Creates a handler.
	 * @param engine the engine to serve, not null
	 */
	public EngineHandler(EngineStandin engine) {
		this.engine = engine;
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		switch (request.getRequestURI()) {
			case "/v1/step" -> step(request, response);
			case "/v1/load" -> HttpMessages.reply(response, 200, this.engine.load());
			case "/healthz" -> HttpMessages.reply(response, 200, Map.of("ok", true));
			default -> HttpMessages.reply(response, 404, Map.of("error", "no such path"));
		}
	}

	private void step(Request request, Response response) throws IOException {
		byte[] body = HttpMessages.body(request, MAX_BODY_BYTES).orElse(new byte[0]);
		StepRequest step;
		try {
			step = Json.decode(body, StepRequest.class, new Peer(Peer.Kind.CALLER, ""));
		}
		catch (PeerException ex) {
			HttpMessages.reply(response, 400, Map.of("error", ex.getMessage()));
			return;
		}
		response.suspend();
		this.engine.submit(step, (status, reply) -> {
			try {
				HttpMessages.reply(response, status, reply);
			}
			catch (IOException ex) {
				// The router has closed the connection; it asks again if it needs the
				// reply.
			}
			finally {
				response.resume();
			}
		});
	}

}
