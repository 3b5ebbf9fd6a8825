package org.mulberrycross.standins.service;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.http.HttpMessages;
import org.mulberrycross.http.Json;
import org.mulberrycross.service.http.HttpServiceClient;

/**
 * Service with a booking, which counts its executions by key, and a look-up. Requests to
 * {@code /control/} set the faults and read the counts. Thread-safe.
 */
public final class ServiceStandin extends HttpHandler {

	private static final int MAX_BODY_BYTES = 1 << 20;

	private static final int PER_CENT = 100;

	private final Map<String, Integer> executions = new ConcurrentHashMap<>();

	private volatile ServiceFaults faults = ServiceFaults.NONE;

	/**
	 * Returns the number of executions by key.
	 * @return a copy of the counts
	 */
	public Map<String, Integer> executions() {
		return Map.copyOf(this.executions);
	}

	/**
	 * Sets the faults.
	 * @param changed the faults, not null
	 */
	public void faults(ServiceFaults changed) {
		this.faults = changed;
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		String path = request.getRequestURI();
		byte[] body = HttpMessages.body(request, MAX_BODY_BYTES).orElse(new byte[0]);
		if (path.startsWith("/control/")) {
			control(path, body, response);
			return;
		}
		ServiceFaults current = this.faults;
		if (current.frozen()) {
			response.suspend();
			return;
		}
		switch (path) {
			case "/healthz" -> HttpMessages.reply(response, 200, Map.of("ok", true));
			case "/duct-records" -> HttpMessages.reply(response, 200, Map.of("record", "blocked at 140 m"));
			case "/bookings" -> book(request, response, current);
			default -> HttpMessages.reply(response, 404, Map.of("error", "no such path"));
		}
	}

	private void book(Request request, Response response, ServiceFaults current) throws IOException {
		int draw = ThreadLocalRandom.current().nextInt(PER_CENT);
		int closeBefore = current.closeBefore();
		int refuse = closeBefore + current.refuse();
		int silent = refuse + current.silent();
		if (draw < closeBefore) {
			request.getContext().getConnection().closeSilently();
			return;
		}
		if (draw < refuse) {
			response.setHeader(HttpServiceClient.NOT_RUN_HEADER, "true");
			HttpMessages.reply(response, 503, Map.of("error", "no crew desk is open"));
			return;
		}
		if (draw < silent) {
			response.suspend();
			return;
		}
		String key = Optional.ofNullable(request.getHeader("Idempotency-Key")).orElse("");
		int count = this.executions.merge(key, 1, Integer::sum);
		if (draw < silent + current.loseReply()) {
			request.getContext().getConnection().closeSilently();
			return;
		}
		HttpMessages.reply(response, 201, Map.of("booking", key, "executions", count));
	}

	private void control(String path, byte[] body, Response response) throws IOException {
		if (path.equals("/control/executions")) {
			HttpMessages.reply(response, 200, this.executions);
			return;
		}
		try {
			this.faults = Json.decode(body, ServiceFaults.class, new Peer(Peer.Kind.CALLER, ""));
			HttpMessages.reply(response, 200, this.faults);
		}
		catch (PeerException ex) {
			HttpMessages.reply(response, 400, Map.of("error", ex.getMessage()));
		}
	}

}
