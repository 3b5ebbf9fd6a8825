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
 * Sends the requests of a schedule when they are due, whether or not earlier ones have
 * ended, and checks every answer. Times count from when a request was due, so that a slow
 * sender does not hide waiting. Thread-safe.
 */
public final class LoadRun implements AutoCloseable {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(120);

	private static final int SELECTOR_THREADS = 2;

	private final HttpClient client;

	private final Balancer balancer;

	private final Tokenizer tokenizer = new WordTokenizer();

	private final ExecutorService senders = Executors.newCachedThreadPool();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final LoadReport report = new LoadReport();

	/**
	 * Creates a run.
	 * @param targets the daemons to send to, not empty; ready ones take turns
	 * @throws IOException if the transport cannot be started
	 */
	public LoadRun(List<Address> targets) throws IOException {
		this.client = new HttpClient(SELECTOR_THREADS);
		this.balancer = new Balancer(this.client, targets);
	}

	/**
	 * Sends all requests and waits until they have ended.
	 * @param requests the requests, not null
	 * @return the figures by name
	 * @throws InterruptedException if the thread is interrupted while it waits
	 */
	public Map<String, Object> run(List<PlannedRequest> requests) throws InterruptedException {
		CountDownLatch left = new CountDownLatch(requests.size());
		long start = System.nanoTime();
		for (PlannedRequest request : requests) {
			this.timer.schedule(() -> this.senders.execute(() -> {
				RequestResult result = send(request, start + request.atNanos());
				synchronized (this.report) {
					this.report.add(result);
				}
				left.countDown();
			}), start + request.atNanos() - System.nanoTime(), TimeUnit.NANOSECONDS);
		}
		left.await();
		return this.report.figures(LoadReport.seconds(System.nanoTime() - start));
	}

	/**
	 * Returns how many requests ended in a way.
	 * @param outcome the way, not null
	 * @return the number
	 */
	public int count(RequestResult.Outcome outcome) {
		synchronized (this.report) {
			return this.report.count(outcome);
		}
	}

	private RequestResult send(PlannedRequest request, long due) {
		Address target = this.balancer.next();
		GapRecorder gaps = new GapRecorder(request.longRequest());
		AnswerEvents events = new AnswerEvents(gaps);
		byte[] body = Json.encode(Map.of("model", request.pipeline().name(), "max_tokens", request.maxTokens(),
				"stream", true, "messages", List.of(Map.of("role", "user", "content", request.prompt()))));
		RequestResult.Outcome outcome;
		String detail = "";
		try {
			HttpReply reply = this.client.send(HttpCall
				.post(Step.READ_REQUEST, new Peer(Peer.Kind.SIBLING, target.toString()), target, "/v1/chat/completions",
						body, REQUEST_TIMEOUT)
				.withHeader("Authorization", "Bearer " + request.team().key()), events);
			outcome = outcome(request, reply, events);
			detail = detail(outcome, reply);
		}
		catch (PeerException ex) {
			outcome = RequestResult.Outcome.FAILED;
			detail = ex.getMessage();
		}
		long first = (gaps.count > 0) ? gaps.first - due : 0;
		return new RequestResult(request, outcome, gaps.count, first, gaps.longest, System.nanoTime() - due, detail);
	}

	private RequestResult.Outcome outcome(PlannedRequest request, HttpReply reply, AnswerEvents events) {
		if (!reply.isSuccess()) {
			boolean notRun = new String(reply.body(), StandardCharsets.UTF_8).contains("\"not_run\":true");
			return notRun ? RequestResult.Outcome.NOT_RUN : RequestResult.Outcome.FAILED;
		}
		if (!events.isWhole()) {
			return RequestResult.Outcome.FAILED;
		}
		String expected = ReferenceModel.answer(request.pipeline().layers(), request.pipeline().version(),
				this.tokenizer.tokens(request.prompt()), request.maxTokens());
		return expected.equals(events.text()) ? RequestResult.Outcome.WHOLE : RequestResult.Outcome.WRONG;
	}

	private static String detail(RequestResult.Outcome outcome, HttpReply reply) {
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
		this.senders.shutdownNow();
		this.client.close();
	}

	/**
	 * Notes the times of the tokens of one answer.
	 */
	private final class GapRecorder implements AnswerEvents.TokenTimes {

		private final boolean longRequest;

		private int count;

		private long first;

		private long last;

		private long longest;

		private GapRecorder(boolean longRequest) {
			this.longRequest = longRequest;
		}

		@Override
		public void token(long nanos) {
			if (this.count == 0) {
				this.first = nanos;
			}
			else {
				long gap = nanos - this.last;
				this.longest = Math.max(this.longest, gap);
				synchronized (LoadRun.this.report) {
					LoadRun.this.report.addGap(this.longRequest, gap);
				}
			}
			this.last = nanos;
			this.count++;
		}

	}

}
