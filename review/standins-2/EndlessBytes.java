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
		for (int i = 0; !engines.stream().allMatch(Engine::isFirst); i++) {
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
				StreamClient stream = new StreamClient();
				String end = stream.read(address, attempt);
				if (end.equals("complete") && stream.events() == Engine.EVENTS) {
					served.incrementAndGet();
				}
				if (stream.strayBytes() > 0) {
					mixed.incrementAndGet();
					strayBytes.addAndGet(stream.strayBytes());
				}
				record.add("stream " + attempt + ": status " + stream.status() + ", signature " + stream.signature()
						+ ", events " + stream.events() + ", bytes that are no event " + stream.strayBytes() + ", " + end
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

}
