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
 * Simulated service with a lookup operation and a booking operation, whose executions it
 * counts by idempotency key. Requests to {@code /control/} set the faults and read the
 * counts. Thread-safe.
 */
public final class ServiceStandin extends HttpHandler {

	private static final int MAX_BODY_BYTES = 1 << 20;

	private static final int PER_CENT = 100;

	private final Map<String, Integer> executions = new ConcurrentHashMap<>();

	private volatile ServiceFaults faults = ServiceFaults.NONE;

	/**
	 * Returns how often bookings were executed.
	 * @return a copy of the counts, by idempotency key
	 */
	public Map<String, Integer> executions() {
		return Map.copyOf(this.executions);
	}

	/**
	 * Replaces the faults to inject.
	 * @param newFaults the faults from now on, not null
	 */
	public void setFaults(ServiceFaults newFaults) {
		this.faults = newFaults;
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		String path = request.getRequestURI();
		byte[] body = HttpMessages.readBody(request, MAX_BODY_BYTES).orElse(new byte[0]);
		if (path.startsWith("/control/")) {
			serveControl(path, body, response);
			return;
		}
		ServiceFaults activeFaults = this.faults;
		if (activeFaults.frozen()) {
			response.suspend();
			return;
		}
		switch (path) {
			case "/healthz" -> HttpMessages.writeJson(response, 200, Map.of("ok", true));
			case "/duct-records" -> HttpMessages.writeJson(response, 200, Map.of("record", "blocked at 140 m"));
			case "/bookings" -> serveBooking(request, response, activeFaults);
			default -> HttpMessages.writeJson(response, 404, Map.of("error", "no such path"));
		}
	}

	private void serveBooking(Request request, Response response, ServiceFaults activeFaults) throws IOException {
		int draw = ThreadLocalRandom.current().nextInt(PER_CENT);
		int closeBelow = activeFaults.closeBefore();
		int refuseBelow = closeBelow + activeFaults.refuse();
		int silentBelow = refuseBelow + activeFaults.silent();
		if (draw < closeBelow) {
			request.getContext().getConnection().closeSilently();
			return;
		}
		if (draw < refuseBelow) {
			response.setHeader(HttpServiceClient.NOT_RUN_HEADER, "true");
			HttpMessages.writeJson(response, 503, Map.of("error", "no crew desk is open"));
			return;
		}
		if (draw < silentBelow) {
			response.suspend();
			return;
		}
		String key = Optional.ofNullable(request.getHeader("Idempotency-Key")).orElse("");
		int executionCount = this.executions.merge(key, 1, Integer::sum);
		if (draw < silentBelow + activeFaults.loseReply()) {
			request.getContext().getConnection().closeSilently();
			return;
		}
		HttpMessages.writeJson(response, 201, Map.of("booking", key, "executions", executionCount));
	}

	private void serveControl(String path, byte[] body, Response response) throws IOException {
		if (path.equals("/control/executions")) {
			HttpMessages.writeJson(response, 200, this.executions);
			return;
		}
		try {
			this.faults = Json.decode(body, ServiceFaults.class, new Peer(Peer.Kind.CALLER, ""));
			HttpMessages.writeJson(response, 200, this.faults);
		}
		catch (PeerException ex) {
			HttpMessages.writeJson(response, 400, Map.of("error", ex.getMessage()));
		}
	}

}
