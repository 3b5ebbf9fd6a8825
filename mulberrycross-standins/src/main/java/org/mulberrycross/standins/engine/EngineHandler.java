package org.mulberrycross.standins.engine;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.engine.KvCache;
import org.mulberrycross.engine.StepRequest;
import org.mulberrycross.engine.http.HttpStageClient;
import org.mulberrycross.engine.http.StreamMessage;
import org.mulberrycross.http.HttpMessages;
import org.mulberrycross.http.Json;

/**
 * HTTP interface of an engine stand-in: steps, cancellation, export and import of caches,
 * load and probes. Thread-safe.
 */
public final class EngineHandler extends HttpHandler {

	private static final int MAX_BODY_BYTES = 64 << 20;

	private static final Peer ROUTER = new Peer(Peer.Kind.SIBLING, "");

	private final EngineStandin engine;

	private final EngineFaults faults;

	private final ScheduledExecutorService delayScheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "delayed-replies");
		thread.setDaemon(true);
		return thread;
	});

	private final AtomicLong stepCount = new AtomicLong();

	private final AtomicReference<byte[]> previousReply = new AtomicReference<>();

	/**
	 * Creates a handler.
	 * @param engine the engine to serve, not null
	 * @param faults the faults to inject, not null
	 */
	public EngineHandler(EngineStandin engine, EngineFaults faults) {
		this.engine = engine;
		this.faults = faults;
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		if (this.faults.isUnresponsive(request.getRequest().getConnection())) {
			response.suspend();
			return;
		}
		byte[] body = HttpMessages.readBody(request, MAX_BODY_BYTES).orElse(new byte[0]);
		try {
			dispatch(request.getRequestURI(), body, response);
		}
		catch (PeerException ex) {
			HttpMessages.writeJson(response, 400, Map.of("error", ex.getMessage()));
		}
	}

	private void dispatch(String path, byte[] body, Response response) throws IOException, PeerException {
		switch (path) {
			case HttpStageClient.STEP_PATH -> runStep(Json.decode(body, StepRequest.class, ROUTER), response);
			case HttpStageClient.CANCEL_PATH -> {
				StreamMessage message = Json.decode(body, StreamMessage.class, ROUTER);
				this.engine.cancel(message.stream(), message.attempt());
				HttpMessages.writeJson(response, 200, Map.of("ok", true));
			}
			case HttpStageClient.EXPORT_PATH -> {
				Optional<KvCache> cache = this.engine
					.exportCache(Json.decode(body, StreamMessage.class, ROUTER).stream());
				HttpMessages.writeJson(response, cache.isPresent() ? 200 : 404,
						cache.<Object>map((present) -> present).orElse(Map.of("error", "no cache")));
			}
			case HttpStageClient.IMPORT_PATH -> {
				boolean imported = this.engine.importCache(Json.decode(body, KvCache.class, ROUTER));
				HttpMessages.writeJson(response, imported ? 200 : 409, Map.of("ok", imported));
			}
			case "/v1/load" -> HttpMessages.writeJson(response, 200, this.engine.load());
			case HttpStageClient.PROBE_PATH -> HttpMessages.writeJson(response, 200, Map.of("ok", true));
			default -> HttpMessages.writeJson(response, 404, Map.of("error", "no such path"));
		}
	}

	private void runStep(StepRequest step, Response response) throws IOException {
		if (this.faults.isRefusingSteps()) {
			HttpMessages.writeJson(response, 503, Map.of("error", "no steps"));
			return;
		}
		response.suspend();
		this.engine.submit(step, (status, reply) -> {
			byte[] previous = this.previousReply.getAndSet(reply);
			boolean stale = previous != null && this.faults.isStaleReply(this.stepCount.incrementAndGet());
			long delayMillis = this.faults.delayMillis();
			if (delayMillis == 0) {
				sendReply(response, status, stale ? previous : reply);
				return;
			}
			this.delayScheduler.schedule(() -> sendReply(response, status, stale ? previous : reply), delayMillis,
					TimeUnit.MILLISECONDS);
		});
	}

	private static void sendReply(Response response, int status, byte[] reply) {
		try {
			HttpMessages.writeJson(response, status, reply);
		}
		catch (IOException ex) {
			// The router has closed the connection; it retries the step if needed.
		}
		finally {
			response.resume();
		}
	}

}
