import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One of six engines is in trouble: the bodies of its answers to streams are bytes that are no
 * answer, without end. Checks the rule MIXED on what clients get. Arguments: the folder of the
 * record, a temporary folder, and 1 with or 0 without the trouble.
 */
final class EndlessBytes {

	private static final int STREAMS = 300;

	/** A client abandons a stream after a gap of two seconds without an event. */
	private static final long GAP_NANOS = TimeUnit.SECONDS.toNanos(2);

	private EndlessBytes() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = arguments[2].equals("1");
		List<Daemon> daemons = new ArrayList<>();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> daemons.forEach(Daemon::close)));
		int status = 2;
		try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
			status = run(record, Path.of(arguments[1]), trouble, daemons);
		}
		System.exit(status);
	}

	private static int run(Record record, Path folder, boolean trouble, List<Daemon> daemons) throws Exception {
		StoreStandIn store = new StoreStandIn();
		Map<String, String> runs = new ConcurrentHashMap<>();
		List<Engine> engines = new ArrayList<>();
		for (int i = 1; i <= 6; i++) {
			engines.add(new Engine("i-model" + i, "model", "centro-" + (1 + i % 3), true, store, record,
					(attempt, engine) -> runs.merge(attempt, engine.id(), (first, second) -> first + " " + second)));
		}
		new Configuration(store).addKey("key-kept")
			.modelService("model", 16_000)
			.route("/draft/", "streaming", "model", 20_000)
			.publish();
		for (String machine : List.of("1-1", "2-1")) {
			daemons.add(new Daemon("edge-centro-" + machine, "centro-" + machine.charAt(0), store.address(), folder));
		}
		if (!Daemon.awaitReady(daemons, 25)) {
			record.add("not all daemons became ready");
			return 2;
		}
		for (int i = 0; !engines.stream().allMatch(Engine::holdsLayers); i++) {
			if (i == 200) {
				record.add("not all engines got layers");
				return 2;
			}
			Thread.sleep(100);
		}
		Thread.sleep(4000);
		if (trouble) {
			engines.get(2).breakDown();
		}

		AtomicInteger served = new AtomicInteger();
		AtomicInteger mixed = new AtomicInteger();
		AtomicLong strayBytes = new AtomicLong();
		ExecutorService clients = Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "client");
			thread.setDaemon(true);
			return thread;
		});
		for (int i = 0; i < STREAMS; i++) {
			String attempt = "s" + i;
			String address = daemons.get(i % 2).callers();
			clients.execute(() -> {
				Stream stream = new Stream();
				String end = stream.read(address, attempt);
				if (end.equals("complete") && stream.events == Engine.EVENTS) {
					served.incrementAndGet();
				}
				if (stream.strayBytes > 0) {
					mixed.incrementAndGet();
					strayBytes.addAndGet(stream.strayBytes);
				}
				record.add("stream " + attempt + ": status " + stream.status + ", signature " + stream.signature
						+ ", events " + stream.events + ", bytes that are no event " + stream.strayBytes + ", " + end
						+ ", run by " + runs.get(attempt));
			});
			Thread.sleep(100);
		}
		clients.shutdown();
		clients.awaitTermination(10, TimeUnit.SECONDS);
		String result = STREAMS + " streams, " + served + " served; " + mixed
				+ " clients got bytes that are no answer in a success with a signature, " + strayBytes + " bytes";
		record.add(result);
		System.out.println(result);
		return (mixed.get() > 0) ? 1 : 0;
	}

	/** What a client gets of one stream. */
	private static final class Stream {

		private int status;

		private String signature = "none";

		private int events;

		private long strayBytes;

		private String read(String address, String attempt) {
			int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
				socket.setSoTimeout(2000);
				socket.getOutputStream()
					.write(("POST /draft/a HTTP/1.1\r\nHost: " + Configuration.HOST + "\r\nAttempt-Id: " + attempt
							+ "\r\nAuthorization: Token key-kept\r\nModel: m0\r\nToken-Usage: 60,40\r\n"
							+ "Prefix-Hash: aa01:40,b" + Integer.toHexString(attempt.hashCode()) + ":20\r\nDeadline-Ms: 20000\r\n"
							+ "Content-Length: 2\r\n\r\n{}").getBytes(StandardCharsets.ISO_8859_1));
				return readAnswer(new BufferedInputStream(socket.getInputStream(), 1 << 16), attempt);
			}
			catch (SocketTimeoutException ex) {
				return "abandoned";
			}
			catch (IOException | RuntimeException ex) {
				return "broken off";
			}
		}

		private String readAnswer(InputStream in, String attempt) throws IOException {
			this.status = Integer.parseInt(HttpServerStandIn.readLine(in).split(" ")[1]);
			for (String field = HttpServerStandIn.readLine(in); !field.isEmpty(); field = HttpServerStandIn
				.readLine(in)) {
				if (field.toLowerCase().startsWith("engine-signature:")) {
					this.signature = field.substring(field.indexOf(':') + 1).trim();
				}
			}
			if (this.status != 200) {
				return "refused or failed";
			}
			StringBuilder text = new StringBuilder();
			long eventNanos = System.nanoTime();
			while (true) {
				int length = Integer.parseInt(HttpServerStandIn.readLine(in).trim(), 16);
				text.append(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
				HttpServerStandIn.readLine(in);
				if (takeEvents(text, attempt)) {
					eventNanos = System.nanoTime();
				}
				if (length == 0) {
					return "complete";
				}
				if (System.nanoTime() - eventNanos > GAP_NANOS) {
					return "abandoned";
				}
			}
		}

		// Counts the events of the engines' answers, and the bytes of all else.
		private boolean takeEvents(StringBuilder text, String attempt) {
			int before = this.events;
			for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
				String event = text.substring(0, end);
				text.delete(0, end + 2);
				if (event.equals("id: " + (this.events + 1) + "\ndata: " + attempt)) {
					this.events++;
				}
				else {
					this.strayBytes += event.length() + 2;
				}
			}
			return this.events > before;
		}

	}

}
