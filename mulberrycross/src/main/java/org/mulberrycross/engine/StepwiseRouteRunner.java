package org.mulberrycross.engine;

import java.time.Duration;
import java.util.Objects;

import org.mulberrycross.PeerException;

/**
 * Runs a stream by one step per stage and token, driven from this process. The output of
 * each stage is the input of the next. Thread-safe.
 */
public final class StepwiseRouteRunner implements RouteRunner {

	private final StageClient client;

	private final Duration stepTimeout;

	/**
	 * Creates a runner.
	 * @param client runs the steps, not null
	 * @param stepTimeout the bound on one step, positive
	 */
	public StepwiseRouteRunner(StageClient client, Duration stepTimeout) {
		this.client = Objects.requireNonNull(client, "client");
		this.stepTimeout = Objects.requireNonNull(stepTimeout, "stepTimeout");
	}

	@Override
	public void run(StreamRequest request, Route route, TokenSink sink) throws PeerException {
		CoverageLedger ledger = new CoverageLedger(request.stream(), route.layerCount());
		long[] input = request.promptTokens();
		for (int index = 0; index < request.maxTokens(); index++) {
			StepReply last = runPosition(request, route, ledger, input);
			sink.token(index, last.text());
			input = last.output();
		}
	}

	private StepReply runPosition(StreamRequest request, Route route, CoverageLedger ledger, long[] tokens)
			throws PeerException {
		ledger.begin(ledger.position(), tokens.length);
		long[] input = tokens;
		StepReply reply = null;
		for (Stage stage : route.stages()) {
			StepRequest step = new StepRequest(request.stream(), ledger.attempt(), route.model(), route.version(),
					route.adapter(), stage.layers(), ledger.position(), input, request.priority().getAsInt());
			reply = this.client.step(stage, step, this.stepTimeout);
			ledger.accept(stage, reply);
			input = reply.output();
		}
		ledger.finish();
		return reply;
	}

}
