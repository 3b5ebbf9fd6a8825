package org.mulberrycross.standins.engine;

import java.io.IOException;
import java.util.Map;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.http.HttpMessages;

/**
 * Sets the switches of an engine stand-in by {@code POST /faults?name=value}, on a port
 * of its own so that it answers whatever the engine does. Thread-safe.
 */
public final class FaultHandler extends HttpHandler {

	/** Path that this handler serves. */
	public static final String PATH = "/faults";

	private final EngineStandin engine;

	private final EngineFaults faults;

	/**
	 * Creates a handler.
	 * @param engine the engine, not null
	 * @param faults its switches, not null
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
				case "freeze" -> this.faults.freeze(Boolean.parseBoolean(value));
				case "silent" -> this.faults.silenceConnections();
				case "refuse-steps" -> this.faults.refuseSteps(Boolean.parseBoolean(value));
				case "leaving" -> this.engine.leaving(Boolean.parseBoolean(value));
				case "delay-ms" -> this.faults.delay(Long.parseLong(value));
				case "stale-every" -> this.faults.staleReplies(Integer.parseInt(value));
				default -> {
					HttpMessages.reply(response, 400, Map.of("error", "no switch " + name));
					return;
				}
			}
		}
		HttpMessages.reply(response, 200, Map.of("ok", true));
	}

}
