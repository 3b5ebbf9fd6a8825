package org.mulberrycross.engine.http;

import java.time.Duration;
import java.util.Objects;

import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.engine.Stage;
import org.mulberrycross.engine.StageClient;
import org.mulberrycross.engine.StepReply;
import org.mulberrycross.engine.StepRequest;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.http.Json;

/**
 * Runs steps on engines by {@code POST /v1/step} with JSON. Thread-safe.
 */
public final class HttpStageClient implements StageClient {

	/** Path of the step call. */
	public static final String STEP_PATH = "/v1/step";

	private final HttpClient client;

	/**
	 * Creates a client.
	 * @param client the HTTP client, not null; not closed by this class
	 */
	public HttpStageClient(HttpClient client) {
		this.client = Objects.requireNonNull(client, "client");
	}

	@Override
	public StepReply step(Stage stage, StepRequest request, Duration timeout) throws PeerException {
		Peer peer = new Peer(Peer.Kind.ENGINE, stage.engine());
		Step step = (request.input().length > 1) ? Step.PREFILL : Step.DECODE;
		HttpReply reply = this.client
			.send(HttpCall.post(step, peer, stage.address(), STEP_PATH, Json.encode(request), timeout));
		if (!reply.isSuccess()) {
			throw new NotRunException(step, peer, "engine refused the step with status " + reply.status());
		}
		return Json.decode(reply.body(), StepReply.class, peer);
	}

}
