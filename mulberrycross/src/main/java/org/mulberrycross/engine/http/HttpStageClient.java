package org.mulberrycross.engine.http;

import java.time.Duration;
import java.util.Objects;

import org.mulberrycross.NotRunException;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.engine.KvCache;
import org.mulberrycross.engine.Stage;
import org.mulberrycross.engine.StageCalls;
import org.mulberrycross.engine.StageClient;
import org.mulberrycross.engine.StepReply;
import org.mulberrycross.engine.StepRequest;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.http.Json;

/**
 * Calls engines over HTTP with JSON bodies. A refusal (status 503, or any below 500 other
 * than a success) raises {@link NotRunException}, and any other failure status raises
 * {@link OutcomeUnknownException}. Thread-safe.
 */
public final class HttpStageClient implements StageClient {

	/** Path of the step call. */
	public static final String STEP_PATH = "/v1/step";

	/** Path of the cancel call. */
	public static final String CANCEL_PATH = "/v1/cancel";

	/** Path of the call that reads a KV cache. */
	public static final String EXPORT_PATH = "/v1/kv/export";

	/** Path of the call that sends a KV cache. */
	public static final String IMPORT_PATH = "/v1/kv/import";

	/** Path of the probe. */
	public static final String PROBE_PATH = "/healthz";

	private static final int SERVER_ERROR = 500;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final HttpClient client;

	/**
	 * Creates a client.
	 * @param client the HTTP client, not null; not closed by this class
	 */
	public HttpStageClient(HttpClient client) {
		this.client = Objects.requireNonNull(client, "client");
	}

	/**
	 * Returns the calls that a stream needs.
	 * @return the calls, all made by this client
	 */
	public StageCalls calls() {
		return new StageCalls(this, this::stepOnNewConnection, this::probe, this::cancel, this::exportCache,
				this::importCache);
	}

	@Override
	public StepReply step(Stage stage, StepRequest request, Duration timeout) throws PeerException {
		HttpCall call = stepCall(stage, request, timeout);
		return Json.decode(send(call).body(), StepReply.class, call.peer());
	}

	/**
	 * Runs one step on a new connection.
	 * @param stage the stage whose engine runs it, not null
	 * @param request the step, not null
	 * @param timeout the maximum wait, positive
	 * @return the reply as received
	 * @throws PeerException as for {@link #step(Stage, StepRequest, Duration)}
	 */
	public StepReply stepOnNewConnection(Stage stage, StepRequest request, Duration timeout) throws PeerException {
		HttpCall call = stepCall(stage, request, timeout).withNewConnection();
		return Json.decode(send(call).body(), StepReply.class, call.peer());
	}

	/**
	 * Checks on a new connection whether an engine answers.
	 * @param stage the stage whose engine is probed, not null
	 * @param timeout the maximum wait, positive
	 * @throws PeerException if it does not answer with a success status in time
	 */
	public void probe(Stage stage, Duration timeout) throws PeerException {
		send(HttpCall.get(Step.PROBE, peer(stage), stage.address(), PROBE_PATH, timeout).withNewConnection());
	}

	/**
	 * Cancels a stream on an engine, so that the engine frees the stream's KV cache.
	 * @param stage the stage whose engine ran the stream, not null
	 * @param stream the identifier of the stream, not null
	 * @param attempt the last attempt of the stream
	 * @param timeout the maximum wait, positive
	 * @throws PeerException if the engine does not confirm in time
	 */
	public void cancel(Stage stage, String stream, int attempt, Duration timeout) throws PeerException {
		send(HttpCall.post(Step.CANCEL, peer(stage), stage.address(), CANCEL_PATH,
				Json.encode(new StreamMessage(stream, attempt)), timeout));
	}

	/**
	 * Reads the KV cache of a stream from an engine.
	 * @param stage the stage whose engine to read from, not null
	 * @param stream the identifier of the stream, not null
	 * @param timeout the maximum wait, positive
	 * @return the cache as received
	 * @throws PeerException if the engine does not answer or holds no cache of the stream
	 */
	public KvCache exportCache(Stage stage, String stream, Duration timeout) throws PeerException {
		HttpCall call = HttpCall.post(Step.REPLACE_STAGE, peer(stage), stage.address(), EXPORT_PATH,
				Json.encode(new StreamMessage(stream, 0)), timeout);
		return Json.decode(send(call.withNewConnection()).body(), KvCache.class, call.peer());
	}

	/**
	 * Sends the KV cache of a stream to an engine.
	 * @param stage the stage whose engine receives it, not null
	 * @param cache the cache, not null
	 * @param timeout the maximum wait, positive
	 * @throws PeerException if the engine does not confirm in time
	 */
	public void importCache(Stage stage, KvCache cache, Duration timeout) throws PeerException {
		send(HttpCall.post(Step.REPLACE_STAGE, peer(stage), stage.address(), IMPORT_PATH, Json.encode(cache), timeout));
	}

	private static HttpCall stepCall(Stage stage, StepRequest request, Duration timeout) {
		Step step = (request.input().length > 1) ? Step.PREFILL : Step.DECODE;
		return HttpCall.post(step, peer(stage), stage.address(), STEP_PATH, Json.encode(request), timeout);
	}

	private HttpReply send(HttpCall call) throws PeerException {
		HttpReply reply = this.client.send(call);
		if (reply.isSuccess()) {
			return reply;
		}
		String message = "engine answered " + call.path() + " with status " + reply.status();
		if (reply.status() < SERVER_ERROR || reply.status() == SERVICE_UNAVAILABLE) {
			throw new NotRunException(call.step(), call.peer(), message);
		}
		throw new OutcomeUnknownException(call.step(), call.peer(), message, null);
	}

	private static Peer peer(Stage stage) {
		return new Peer(Peer.Kind.ENGINE, stage.engine());
	}

}
