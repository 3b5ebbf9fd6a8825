package org.mulberrycross.router;

import java.io.IOException;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.http.HttpMessages;

/**
 * Serves {@code /healthz}, which always succeeds, and {@code /readyz}. A daemon is ready
 * when it has a configuration, has run for one lease time of the team limits and is not
 * shutting down. Thread-safe.
 */
final class HealthHandler extends HttpHandler {

	static final String HEALTH_PATH = "/healthz";

	static final String READY_PATH = "/readyz";

	private final Supplier<ControlSnapshot> snapshot;

	private final BooleanSupplier initialLeaseElapsed;

	HealthHandler(Supplier<ControlSnapshot> snapshot, BooleanSupplier initialLeaseElapsed) {
		this.initialLeaseElapsed = Objects.requireNonNull(initialLeaseElapsed, "initialLeaseElapsed");
		this.snapshot = Objects.requireNonNull(snapshot, "snapshot");
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		ControlSnapshot current = this.snapshot.get();
		long generation = current.configuration().generation();
		boolean ready = generation > 0 && this.initialLeaseElapsed.getAsBoolean() && !current.draining();
		boolean success = request.getRequestURI().equals(HEALTH_PATH) || ready;
		HttpMessages.writeJson(response, success ? 200 : 503,
				Map.of("ready", ready, "generation", generation, "draining", current.draining()));
	}

}
