package org.mulberrycross.standins.load;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.caller.WordTokenizer;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.Stage;
import org.mulberrycross.engine.StepReply;
import org.mulberrycross.engine.StepRequest;
import org.mulberrycross.engine.http.HttpStageClient;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.Json;
import org.mulberrycross.standins.CommandLines;

/**
 * Measures the time that a daemon adds: each request runs once straight over the engines
 * and once through a daemon, in turn, one at a time.
 */
public final class OverheadMain {

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private static final String PROMPT = "camera shows roots at the joint of duct 7 behind the school";

	private static final int WARM_UP_REQUESTS = 20;

	private final HttpClient client;

	private final CommandLine line;

	private OverheadMain(HttpClient client, CommandLine line) {
		this.client = client;
		this.line = line;
	}

	/**
	 * Runs the measurement and prints percentiles.
	 * @param arguments see the options
	 * @throws IOException if the transport cannot be started
	 * @throws PeerException if a request fails
	 */
	public static void main(String[] arguments) throws IOException, PeerException {
		Options options = new Options().addOption(null, "daemon", true, "daemon, host:port")
			.addOption(null, "pipeline", true, "name of the pipeline")
			.addOption(null, "key", true, "API key")
			.addOption(null, "stages", true, "HOST:PORT:FIRST:END separated by commas")
			.addOption(null, "requests", true, "number of requests each way")
			.addOption(null, "tokens", true, "tokens of each answer");
		CommandLine line = CommandLines.parse(options, arguments);
		try (HttpClient client = new HttpClient(1)) {
			new OverheadMain(client, line).run();
		}
		System.exit(0);
	}

	private void run() throws PeerException {
		int requests = CommandLines.number(this.line, "requests", 100);
		Times direct = new Times();
		Times routed = new Times();
		for (int i = -WARM_UP_REQUESTS; i < requests; i++) {
			if (i == 0) {
				direct.reset();
				routed.reset();
			}
			direct(direct, "direct-" + System.nanoTime());
			routed(routed);
		}
		System.out.printf(Locale.ROOT, "%-24s %10s %10s %10s%n", "microseconds", "p50", "p95", "p99");
		print("first token, direct", direct.first);
		print("first token, routed", routed.first);
		print("between tokens, direct", direct.gaps);
		print("between tokens, routed", routed.gaps);
	}

	private static void print(String name, Histogram histogram) {
		System.out.printf(Locale.ROOT, "%-24s %10d %10d %10d%n", name, histogram.getValueAtPercentile(50) / 1000,
				histogram.getValueAtPercentile(95) / 1000, histogram.getValueAtPercentile(99) / 1000);
	}

	private void direct(Times times, String stream) throws PeerException {
		HttpStageClient steps = new HttpStageClient(this.client);
		times.start();
		long[] tokens = new WordTokenizer().tokens(PROMPT);
		int position = 0;
		for (int i = 0; i < CommandLines.number(this.line, "tokens", 50); i++) {
			long[] input = tokens;
			for (Stage stage : stages()) {
				StepReply reply = steps.step(stage,
						new StepRequest(stream, 1, "redactor", "v1", "", stage.layers(), position, input, 0), TIMEOUT);
				input = reply.output();
			}
			position += tokens.length;
			tokens = input;
			times.token(System.nanoTime());
		}
	}

	private void routed(Times times) throws PeerException {
		Address daemon = Address.parse(this.line.getOptionValue("daemon"));
		byte[] body = Json.encode(Map.of("model", this.line.getOptionValue("pipeline"), "stream", true, "max_tokens",
				CommandLines.number(this.line, "tokens", 50), "messages",
				List.of(Map.of("role", "user", "content", PROMPT))));
		times.start();
		this.client.send(
				HttpCall
					.post(Step.READ_REQUEST, new Peer(Peer.Kind.SIBLING, daemon.toString()), daemon,
							"/v1/chat/completions", body, TIMEOUT)
					.withHeader("Authorization", "Bearer " + this.line.getOptionValue("key")),
				new AnswerEvents(times::token));
	}

	private List<Stage> stages() {
		List<Stage> stages = new ArrayList<>();
		for (String[] parts : Arrays.stream(this.line.getOptionValue("stages").split(","))
			.map((text) -> text.split(":"))
			.toList()) {
			stages.add(new Stage(parts[1], new Address(parts[0], Integer.parseInt(parts[1])),
					new LayerRange(Integer.parseInt(parts[2]), Integer.parseInt(parts[3]))));
		}
		return stages;
	}

	/**
	 * Times of the tokens of one way.
	 */
	private static final class Times {

		private final Histogram first = new Histogram(3);

		private final Histogram gaps = new Histogram(3);

		private long last;

		private boolean started;

		private void reset() {
			this.first.reset();
			this.gaps.reset();
		}

		private void start() {
			this.last = System.nanoTime();
			this.started = false;
		}

		private void token(long nanos) {
			(this.started ? this.gaps : this.first).recordValue(nanos - this.last);
			this.started = true;
			this.last = nanos;
		}

	}

}
