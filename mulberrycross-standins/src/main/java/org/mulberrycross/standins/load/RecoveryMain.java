package org.mulberrycross.standins.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.caller.WordTokenizer;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.Json;
import org.mulberrycross.standins.CommandLines;
import org.mulberrycross.standins.engine.ReferenceModel;

/**
 * Measures how long streams stall when an engine is lost. Runs concurrent streams through
 * one daemon, injects the fault while they are running, and compares each complete answer
 * with the output of the reference model.
 */
public final class RecoveryMain {

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private RecoveryMain() {
	}

	/**
	 * Runs the measurement and prints the gaps between tokens before and after the loss.
	 * Exits with 1 if any answer is incomplete or incorrect.
	 * @param arguments see the options
	 * @throws IOException if the HTTP client or the kill command cannot be started
	 * @throws InterruptedException if the main thread is interrupted
	 * @throws PeerException if the engine's fault port does not respond
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException, PeerException {
		Options options = new Options().addOption(null, "target", true, "address of the daemon")
			.addOption(null, "pipeline", true, "name of the pipeline")
			.addOption(null, "layers", true, "number of layers of the pipeline's model")
			.addOption(null, "streams", true, "number of concurrent streams")
			.addOption(null, "tokens", true, "number of tokens per stream")
			.addOption(null, "after-tokens", true, "number of tokens that every stream receives before the loss")
			.addOption(null, "signal", true, "signal that is sent to the engine: KILL or STOP")
			.addOption(null, "pid", true, "process ID of the engine")
			.addOption(null, "silence", true,
					"address of the engine's fault port, to silence its connections instead of sending a signal");
		CommandLine line = CommandLines.parse(options, arguments);
		int streamCount = CommandLines.intOption(line, "streams", 24);
		ExecutorService executor = Executors.newFixedThreadPool(streamCount);
		try (HttpClient client = new HttpClient(2)) {
			List<TokenTimestamps> streams = new ArrayList<>();
			List<Future<Boolean>> answers = new ArrayList<>();
			CountDownLatch warmUpLatch = new CountDownLatch(streamCount);
			int warmUpTokens = CommandLines.intOption(line, "after-tokens", 50);
			for (int i = 0; i < streamCount; i++) {
				TokenTimestamps timestamps = new TokenTimestamps(warmUpTokens, warmUpLatch);
				streams.add(timestamps);
				answers.add(executor.submit(createStreamTask(client, line, i, timestamps)));
			}
			if (!warmUpLatch.await(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
				System.out.println("not all streams received " + warmUpTokens + " tokens within " + TIMEOUT);
			}
			long lossNanos = System.nanoTime();
			injectFault(client, line);
			int incorrect = 0;
			for (Future<Boolean> answer : answers) {
				incorrect += isCorrect(answer) ? 0 : 1;
			}
			printReport(streams, lossNanos, incorrect);
			System.exit((incorrect > 0) ? 1 : 0);
		}
		finally {
			executor.shutdownNow();
		}
	}

	// The task returns whether the answer is complete and equals the reference output.
	private static Callable<Boolean> createStreamTask(HttpClient client, CommandLine line, int index,
			TokenTimestamps timestamps) {
		int tokens = CommandLines.intOption(line, "tokens", 500);
		String pipeline = line.getOptionValue("pipeline", "redactor-ia");
		String prompt = "blocked duct " + index + " at kilometre " + index * 7;
		String body = "{\"model\":\"" + pipeline + "\",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt
				+ "\"}],\"max_tokens\":" + tokens + ",\"stream\":true}";
		String expected = ReferenceModel.generate(CommandLines.intOption(line, "layers", 12), "v1",
				new WordTokenizer().tokenize(prompt), tokens);
		HttpCall call = HttpCall
			.post(Step.DECODE, new Peer(Peer.Kind.SIBLING, "daemon"), Address.parse(line.getOptionValue("target")),
					"/v1/chat/completions", body.getBytes(StandardCharsets.UTF_8), TIMEOUT)
			.withHeader("Authorization", "Bearer key-1");
		return () -> {
			StreamedAnswerReader reader = new StreamedAnswerReader(timestamps::add);
			client.send(call, reader);
			return reader.isComplete() && reader.text().equals(expected);
		};
	}

	// Waits until the stream has ended; a stream that failed is not correct.
	private static boolean isCorrect(Future<Boolean> answer) throws InterruptedException {
		try {
			return answer.get();
		}
		catch (ExecutionException ex) {
			System.out.println("stream failed: " + ex.getCause());
			return false;
		}
	}

	private static void injectFault(HttpClient client, CommandLine line)
			throws IOException, InterruptedException, PeerException {
		if (line.hasOption("silence")) {
			client.send(HttpCall.post(Step.PROBE, new Peer(Peer.Kind.ENGINE, ""),
					Address.parse(line.getOptionValue("silence")), "/faults?silent=true", Json.encode(""), TIMEOUT));
			return;
		}
		new ProcessBuilder("kill", "-" + line.getOptionValue("signal"), line.getOptionValue("pid")).inheritIO()
			.start()
			.waitFor();
	}

	private static void printReport(List<TokenTimestamps> streams, long lossNanos, int incorrect) {
		long longestGapBeforeNanos = streams.stream()
			.mapToLong((timestamps) -> timestamps.longestGapNanos(Long.MIN_VALUE, lossNanos))
			.max()
			.orElse(0);
		Histogram longestGapsAfter = new Histogram(TIMEOUT.toNanos(), 3);
		int running = 0;
		for (TokenTimestamps timestamps : streams) {
			running += timestamps.isRunningAt(lossNanos) ? 1 : 0;
			longestGapsAfter.recordValue(timestamps.longestGapNanos(lossNanos, Long.MAX_VALUE));
		}
		System.out.printf(
				"streams %d, running at the loss %d, not whole or wrong %d, longest gap before %.0f ms, "
						+ "longest gap after, over all streams: p50 %.0f ms, p95 %.0f ms, max %.0f ms%n",
				streams.size(), running, incorrect, longestGapBeforeNanos / 1e6,
				longestGapsAfter.getValueAtPercentile(50) / 1e6, longestGapsAfter.getValueAtPercentile(95) / 1e6,
				longestGapsAfter.getMaxValue() / 1e6);
	}

	/** Arrival times of the tokens of one stream. */
	private static final class TokenTimestamps {

		private final List<Long> timestampsNanos = Collections.synchronizedList(new ArrayList<>());

		private final int warmUpTokens;

		private final CountDownLatch warmUpLatch;

		TokenTimestamps(int warmUpTokens, CountDownLatch warmUpLatch) {
			this.warmUpTokens = warmUpTokens;
			this.warmUpLatch = warmUpLatch;
		}

		void add(long timestampNanos) {
			this.timestampsNanos.add(timestampNanos);
			if (this.timestampsNanos.size() == this.warmUpTokens) {
				this.warmUpLatch.countDown();
			}
		}

		boolean isRunningAt(long timeNanos) {
			return !this.timestampsNanos.isEmpty() && this.timestampsNanos.get(0) <= timeNanos
					&& this.timestampsNanos.get(this.timestampsNanos.size() - 1) > timeNanos;
		}

		// Returns the longest gap whose second token arrived within the period. A stream
		// may still receive the token of a step that had already passed the lost engine,
		// so its stall is not always the first gap after the loss.
		long longestGapNanos(long fromNanos, long untilNanos) {
			long longestNanos = 0;
			for (int i = 1; i < this.timestampsNanos.size(); i++) {
				long timestampNanos = this.timestampsNanos.get(i);
				if (timestampNanos > fromNanos && timestampNanos <= untilNanos) {
					longestNanos = Math.max(longestNanos, timestampNanos - this.timestampsNanos.get(i - 1));
				}
			}
			return longestNanos;
		}

	}

}
