package org.mulberrycross.standins.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.caller.Tokenizer;
import org.mulberrycross.caller.WordTokenizer;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.http.Json;
import org.mulberrycross.standins.engine.ReferenceModel;

/**
 * Sends the requests of a schedule in an open loop, that is when they are due and whether
 * or not earlier ones have ended, and checks every answer. Latencies are measured from
 * the due time, so that they include delays of the sender (no coordinated omission) and a
 * slow sender does not hide queueing. Thread-safe.
 */
public final class LoadRun implements AutoCloseable {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(120);

	private static final int SELECTOR_THREADS = 2;

	private final HttpClient client;

	private final Balancer balancer;

	private final Tokenizer tokenizer = new WordTokenizer();

	private final ExecutorService senderExecutor = Executors.newCachedThreadPool();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final LoadReport report = new LoadReport();

	/**
	 * Starts the HTTP client and the readiness checks of the daemons.
	 * @param targets the daemons, not empty; requests go round-robin to the ready ones
	 * @throws IOException if the HTTP client cannot be started
	 */
	public LoadRun(List<Address> targets) throws IOException {
		this.client = new HttpClient(SELECTOR_THREADS);
		this.balancer = new Balancer(this.client, targets);
	}

	/**
	 * Sends all requests and waits until they have ended.
	 * @param requests the requests, not null
	 * @return the statistics of the run by their JSON names
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public Map<String, Object> run(List<PlannedRequest> requests) throws InterruptedException {
		CountDownLatch remaining = new CountDownLatch(requests.size());
		long startNanos = System.nanoTime();
		for (PlannedRequest request : requests) {
			this.timer.schedule(() -> this.senderExecutor.execute(() -> {
				RequestResult result = send(request, startNanos + request.dueNanos());
				synchronized (this.report) {
					this.report.add(result);
				}
				remaining.countDown();
			}), startNanos + request.dueNanos() - System.nanoTime(), TimeUnit.NANOSECONDS);
		}
		remaining.await();
		return this.report.summary(LoadReport.toSeconds(System.nanoTime() - startNanos));
	}

	/**
	 * Returns the number of requests that have ended with an outcome so far.
	 * @param outcome the outcome, not null
	 * @return the number of requests
	 */
	public int countOf(RequestResult.Outcome outcome) {
		synchronized (this.report) {
			return this.report.countOf(outcome);
		}
	}

	private RequestResult send(PlannedRequest request, long dueNanos) {
		Address target = this.balancer.nextTarget();
		TokenGapRecorder gapRecorder = new TokenGapRecorder(request.longRequest());
		StreamedAnswerReader reader = new StreamedAnswerReader(gapRecorder);
		byte[] body = Json.encode(Map.of("model", request.pipeline().name(), "max_tokens", request.maxTokens(),
				"stream", true, "messages", List.of(Map.of("role", "user", "content", request.prompt()))));
		RequestResult.Outcome outcome;
		String detail = "";
		try {
			HttpReply reply = this.client.send(HttpCall
				.post(Step.READ_REQUEST, new Peer(Peer.Kind.SIBLING, target.toString()), target, "/v1/chat/completions",
						body, REQUEST_TIMEOUT)
				.withHeader("Authorization", "Bearer " + request.team().key()), reader);
			outcome = classify(request, reply, reader);
			detail = describeFailure(outcome, reply);
		}
		catch (PeerException ex) {
			outcome = RequestResult.Outcome.FAILED;
			detail = ex.getMessage();
		}
		long timeToFirstTokenNanos = (gapRecorder.tokenCount > 0) ? gapRecorder.firstTokenNanos - dueNanos : 0;
		return new RequestResult(request, outcome, gapRecorder.tokenCount, timeToFirstTokenNanos,
				gapRecorder.longestGapNanos, System.nanoTime() - dueNanos, detail);
	}

	private RequestResult.Outcome classify(PlannedRequest request, HttpReply reply, StreamedAnswerReader reader) {
		if (!reply.isSuccess()) {
			boolean notRun = new String(reply.body(), StandardCharsets.UTF_8).contains("\"not_run\":true");
			return notRun ? RequestResult.Outcome.NOT_RUN : RequestResult.Outcome.FAILED;
		}
		if (!reader.isComplete()) {
			return RequestResult.Outcome.FAILED;
		}
		String expected = ReferenceModel.generate(request.pipeline().layers(), request.pipeline().version(),
				this.tokenizer.tokenize(request.prompt()), request.maxTokens());
		return expected.equals(reader.text()) ? RequestResult.Outcome.WHOLE : RequestResult.Outcome.WRONG;
	}

	private static String describeFailure(RequestResult.Outcome outcome, HttpReply reply) {
		return switch (outcome) {
			case WHOLE -> "";
			case WRONG -> "text is not the expected one";
			case NOT_RUN -> "refused as not run";
			case FAILED -> reply.isSuccess() ? "answer ended early" : "status " + reply.status();
		};
	}

	@Override
	public void close() {
		this.balancer.close();
		this.timer.shutdownNow();
		this.senderExecutor.shutdownNow();
		this.client.close();
	}

	/**
	 * Records the gaps between the tokens of one answer.
	 */
	private final class TokenGapRecorder implements StreamedAnswerReader.TokenListener {

		private final boolean longRequest;

		private int tokenCount;

		private long firstTokenNanos;

		private long previousTokenNanos;

		private long longestGapNanos;

		private TokenGapRecorder(boolean longRequest) {
			this.longRequest = longRequest;
		}

		@Override
		public void onToken(long nanos) {
			if (this.tokenCount == 0) {
				this.firstTokenNanos = nanos;
			}
			else {
				long gapNanos = nanos - this.previousTokenNanos;
				this.longestGapNanos = Math.max(this.longestGapNanos, gapNanos);
				synchronized (LoadRun.this.report) {
					LoadRun.this.report.addGap(this.longRequest, gapNanos);
				}
			}
			this.previousTokenNanos = nanos;
			this.tokenCount++;
		}

	}

}
