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
 * Measures the latency that a daemon adds. Each request is sent once directly to the
 * engines and once through a daemon, alternately and one at a time.
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
	 * Runs the measurement and prints percentiles of both paths in microseconds.
	 * @param arguments see the options
	 * @throws IOException if the HTTP client cannot be started
	 * @throws PeerException if a request fails
	 */
	public static void main(String[] arguments) throws IOException, PeerException {
		Options options = new Options().addOption(null, "daemon", true, "address of the daemon, host:port")
			.addOption(null, "pipeline", true, "name of the pipeline")
			.addOption(null, "key", true, "API key")
			.addOption(null, "stages", true,
					"engine of each stage with its layer range, HOST:PORT:FIRST:END separated by commas")
			.addOption(null, "requests", true, "number of requests on each path")
			.addOption(null, "tokens", true, "number of tokens of each answer");
		CommandLine line = CommandLines.parse(options, arguments);
		try (HttpClient client = new HttpClient(1)) {
			new OverheadMain(client, line).run();
		}
		System.exit(0);
	}

	private void run() throws PeerException {
		int requests = CommandLines.intOption(this.line, "requests", 100);
		TokenLatencies directLatencies = new TokenLatencies();
		TokenLatencies routedLatencies = new TokenLatencies();
		for (int i = -WARM_UP_REQUESTS; i < requests; i++) {
			if (i == 0) {
				directLatencies.reset();
				routedLatencies.reset();
			}
			sendDirect(directLatencies, "direct-" + System.nanoTime());
			sendRouted(routedLatencies);
		}
		System.out.printf(Locale.ROOT, "%-24s %10s %10s %10s%n", "microseconds", "p50", "p95", "p99");
		printPercentiles("first token, direct", directLatencies.firstToken);
		printPercentiles("first token, routed", routedLatencies.firstToken);
		printPercentiles("between tokens, direct", directLatencies.betweenTokens);
		printPercentiles("between tokens, routed", routedLatencies.betweenTokens);
	}

	private static void printPercentiles(String name, Histogram histogram) {
		System.out.printf(Locale.ROOT, "%-24s %10d %10d %10d%n", name, histogram.getValueAtPercentile(50) / 1000,
				histogram.getValueAtPercentile(95) / 1000, histogram.getValueAtPercentile(99) / 1000);
	}

	private void sendDirect(TokenLatencies latencies, String streamId) throws PeerException {
		HttpStageClient stageClient = new HttpStageClient(this.client);
		latencies.start();
		long[] tokens = new WordTokenizer().tokenize(PROMPT);
		int position = 0;
		for (int i = 0; i < CommandLines.intOption(this.line, "tokens", 50); i++) {
			long[] input = tokens;
			for (Stage stage : parseStages()) {
				StepReply reply = stageClient.step(stage,
						new StepRequest(streamId, 1, "redactor", "v1", "", stage.layers(), position, input, 0),
						TIMEOUT);
				input = reply.output();
			}
			position += tokens.length;
			tokens = input;
			latencies.recordToken(System.nanoTime());
		}
	}

	private void sendRouted(TokenLatencies latencies) throws PeerException {
		Address daemon = Address.parse(this.line.getOptionValue("daemon"));
		byte[] body = Json.encode(Map.of("model", this.line.getOptionValue("pipeline"), "stream", true, "max_tokens",
				CommandLines.intOption(this.line, "tokens", 50), "messages",
				List.of(Map.of("role", "user", "content", PROMPT))));
		latencies.start();
		this.client.send(
				HttpCall
					.post(Step.READ_REQUEST, new Peer(Peer.Kind.SIBLING, daemon.toString()), daemon,
							"/v1/chat/completions", body, TIMEOUT)
					.withHeader("Authorization", "Bearer " + this.line.getOptionValue("key")),
				new StreamedAnswerReader(latencies::recordToken));
	}

	private List<Stage> parseStages() {
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
	 * Latencies in nanoseconds of the tokens that were received over one path.
	 */
	private static final class TokenLatencies {

		private final Histogram firstToken = new Histogram(3);

		private final Histogram betweenTokens = new Histogram(3);

		private long previousNanos;

		private boolean firstTokenSeen;

		private void reset() {
			this.firstToken.reset();
			this.betweenTokens.reset();
		}

		private void start() {
			this.previousNanos = System.nanoTime();
			this.firstTokenSeen = false;
		}

		private void recordToken(long nanos) {
			(this.firstTokenSeen ? this.betweenTokens : this.firstToken).recordValue(nanos - this.previousNanos);
			this.firstTokenSeen = true;
			this.previousNanos = nanos;
		}

	}

}
