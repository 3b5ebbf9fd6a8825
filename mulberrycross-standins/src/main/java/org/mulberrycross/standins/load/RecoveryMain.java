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
 * Measures the time that streams stand still when an engine is lost. Runs streams through
 * one daemon, causes the loss in the middle, and compares each whole answer with the
 * reference model.
 */
public final class RecoveryMain {

	private static final Duration LIMIT = Duration.ofSeconds(60);

	private RecoveryMain() {
	}

	/**
	 * Runs the measurement. Exits with 1 if an answer is not whole and right.
	 * @param arguments see the options
	 * @throws IOException if the transport or the fault command cannot be started
	 * @throws InterruptedException if the main thread is interrupted
	 * @throws PeerException if the fault switch does not answer
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException, PeerException {
		Options options = new Options().addOption(null, "target", true, "address of the daemon")
			.addOption(null, "pipeline", true, "name of the pipeline")
			.addOption(null, "layers", true, "layers of its model")
			.addOption(null, "streams", true, "streams at the same time")
			.addOption(null, "tokens", true, "tokens per stream")
			.addOption(null, "after-tokens", true, "tokens of every stream before the loss")
			.addOption(null, "signal", true, "signal to the lost engine: KILL or STOP")
			.addOption(null, "pid", true, "process of the lost engine")
			.addOption(null, "silence", true, "address of the fault switches, to silence connections");
		CommandLine line = CommandLines.parse(options, arguments);
		int count = CommandLines.number(line, "streams", 24);
		ExecutorService threads = Executors.newFixedThreadPool(count);
		try (HttpClient client = new HttpClient(2)) {
			List<StreamTimes> streams = new ArrayList<>();
			List<Future<Boolean>> answers = new ArrayList<>();
			CountDownLatch warm = new CountDownLatch(count);
			int warmTokens = CommandLines.number(line, "after-tokens", 50);
			for (int i = 0; i < count; i++) {
				StreamTimes times = new StreamTimes(warmTokens, warm);
				streams.add(times);
				answers.add(threads.submit(stream(client, line, i, times)));
			}
			if (!warm.await(LIMIT.toMillis(), TimeUnit.MILLISECONDS)) {
				System.out.println("not all streams run");
			}
			long loss = System.nanoTime();
			cause(client, line);
			int wrong = 0;
			for (Future<Boolean> answer : answers) {
				wrong += whole(answer) ? 0 : 1;
			}
			report(streams, loss, wrong);
			System.exit((wrong > 0) ? 1 : 0);
		}
		finally {
			threads.shutdownNow();
		}
	}

	private static Callable<Boolean> stream(HttpClient client, CommandLine line, int number, StreamTimes times) {
		int tokens = CommandLines.number(line, "tokens", 500);
		String pipeline = line.getOptionValue("pipeline", "redactor-ia");
		String prompt = "blocked duct " + number + " at kilometre " + number * 7;
		String body = "{\"model\":\"" + pipeline + "\",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt
				+ "\"}],\"max_tokens\":" + tokens + ",\"stream\":true}";
		String expected = ReferenceModel.answer(CommandLines.number(line, "layers", 12), "v1",
				new WordTokenizer().tokens(prompt), tokens);
		HttpCall call = HttpCall
			.post(Step.DECODE, new Peer(Peer.Kind.SIBLING, "daemon"), Address.parse(line.getOptionValue("target")),
					"/v1/chat/completions", body.getBytes(StandardCharsets.UTF_8), LIMIT)
			.withHeader("Authorization", "Bearer key-1");
		return () -> {
			AnswerEvents events = new AnswerEvents(times::add);
			client.send(call, events);
			return events.isWhole() && events.text().equals(expected);
		};
	}

	private static boolean whole(Future<Boolean> answer) throws InterruptedException {
		try {
			return answer.get();
		}
		catch (ExecutionException ex) {
			System.out.println("stream failed: " + ex.getCause());
			return false;
		}
	}

	private static void cause(HttpClient client, CommandLine line)
			throws IOException, InterruptedException, PeerException {
		if (line.hasOption("silence")) {
			client.send(HttpCall.post(Step.PROBE, new Peer(Peer.Kind.ENGINE, ""),
					Address.parse(line.getOptionValue("silence")), "/faults?silent=true", Json.encode(""), LIMIT));
			return;
		}
		new ProcessBuilder("kill", "-" + line.getOptionValue("signal"), line.getOptionValue("pid")).inheritIO()
			.start()
			.waitFor();
	}

	private static void report(List<StreamTimes> streams, long loss, int wrong) {
		long usual = streams.stream().mapToLong((times) -> times.longestGap(Long.MIN_VALUE, loss)).max().orElse(0);
		Histogram recovery = new Histogram(LIMIT.toNanos(), 3);
		int running = 0;
		for (StreamTimes times : streams) {
			running += times.runsAt(loss) ? 1 : 0;
			recovery.recordValue(times.longestGap(loss, Long.MAX_VALUE));
		}
		System.out.printf(
				"streams %d, running at the loss %d, not whole or wrong %d, longest gap before %.0f ms, "
						+ "longest gap after, over all streams: p50 %.0f ms, p95 %.0f ms, max %.0f ms%n",
				streams.size(), running, wrong, usual / 1e6, recovery.getValueAtPercentile(50) / 1e6,
				recovery.getValueAtPercentile(95) / 1e6, recovery.getMaxValue() / 1e6);
	}

	/** Times at which the tokens of one stream came. */
	private static final class StreamTimes {

		private final List<Long> nanos = Collections.synchronizedList(new ArrayList<>());

		private final int warmTokens;

		private final CountDownLatch warm;

		StreamTimes(int warmTokens, CountDownLatch warm) {
			this.warmTokens = warmTokens;
			this.warm = warm;
		}

		void add(long time) {
			this.nanos.add(time);
			if (this.nanos.size() == this.warmTokens) {
				this.warm.countDown();
			}
		}

		boolean runsAt(long time) {
			return !this.nanos.isEmpty() && this.nanos.get(0) <= time && this.nanos.get(this.nanos.size() - 1) > time;
		}

		// The second token of the gap lies in the period. After a loss this covers
		// streams that got one more token from work that had already passed the lost
		// engine.
		long longestGap(long after, long until) {
			long longest = 0;
			for (int i = 1; i < this.nanos.size(); i++) {
				long time = this.nanos.get(i);
				if (time > after && time <= until) {
					longest = Math.max(longest, time - this.nanos.get(i - 1));
				}
			}
			return longest;
		}

	}

}
