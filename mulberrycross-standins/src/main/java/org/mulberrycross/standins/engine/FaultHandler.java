package org.mulberrycross.standins.engine;

import java.io.IOException;
import java.util.Map;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.http.HttpMessages;

/**
 * Sets the fault switches of an engine stand-in by {@code POST /faults?name=value}. It is
 * served on a separate port, so that it replies even if the engine does not. Thread-safe.
 */
public final class FaultHandler extends HttpHandler {

	/** Path that this handler serves. */
	public static final String PATH = "/faults";

	private final EngineStandin engine;

	private final EngineFaults faults;

	/**
	 * Creates a handler.
	 * @param engine the engine that can be set to drain, not null
	 * @param faults the fault switches of the engine, not null
	 */
	public FaultHandler(EngineStandin engine, EngineFaults faults) {
		this.engine = engine;
		this.faults = faults;
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		for (String name : request.getParameterNames()) {
			String value = request.getParameter(name);
			switch (name) {
				case "crash" -> this.faults.crash();
				case "freeze" -> this.faults.setFrozen(Boolean.parseBoolean(value));
				case "silent" -> this.faults.silenceOpenConnections();
				case "refuse-steps" -> this.faults.setRefusingSteps(Boolean.parseBoolean(value));
				case "leaving" -> this.engine.setDraining(Boolean.parseBoolean(value));
				case "delay-ms" -> this.faults.setDelayMillis(Long.parseLong(value));
				case "stale-every" -> this.faults.setStaleReplyInterval(Integer.parseInt(value));
				default -> {
					HttpMessages.writeJson(response, 400, Map.of("error", "no switch " + name));
					return;
				}
			}
		}
		HttpMessages.writeJson(response, 200, Map.of("ok", true));
	}

}
