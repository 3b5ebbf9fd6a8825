import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** DRAIN: connections to the store go silent, then an engine's entry is removed. */
final class LateRemoval {

	private static final long DRAIN_MILLIS = 2000;

	private static final long REMOVAL_AFTER_SILENCE_MILLIS = 3200;

	/** How long the engine serves after the removal; the pages allow many seconds. */
	private static final long SERVES_MILLIS = 7000;

	private record Arrival(String engine, String id, String path, long nanos) {

	}

	public static void main(String[] args) throws Exception {
		Util.runCase(Path.of(args[0]), LateRemoval::run);
	}

	private static boolean run() throws Exception {
		Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
		Store store = new Store();
		List<Engine> engines = new ArrayList<>();
		for (int i = 1; i <= 3; i++) {
			String name = "i-" + i;
			engines.add(new Engine(name, "campo-ops", "centro-" + i, (id, path, body) -> {
				arrivals.add(new Arrival(name, id, path, System.nanoTime()));
				Util.record(name + " runs " + id);
				Thread.sleep(60);
				return ("answer to " + id).getBytes();
			}));
		}
		engines.forEach((engine) -> store.put("servers", engine.id, engine.entry("ready")));
		store.put("config", "main", Sites.withRoute(Sites.withRoute(Sites.configuration(1), "/brigada/", "unsafe", 1500, 1), "/ficha/",
				"safe", 1500, 2));
		List<Proxy> proxies = new ArrayList<>();
		List<Daemon> daemons = new ArrayList<>();
		for (int i = 1; i <= 3; i++) {
			Proxy proxy = new Proxy(store.port());
			proxies.add(proxy);
			daemons.add(new Daemon("edge-centro-" + i + "-1", "centro-" + i, proxy.port()));
		}
		for (Daemon daemon : daemons) {
			daemon.awaitReady();
		}
		for (Daemon daemon : daemons) {
			for (String path : List.of("/brigada/1", "/ficha/1")) {
				Util.start("client", () -> sendRequests(daemon, path));
			}
		}
		Thread.sleep(5000);
		long watchNanos = proxies.get(0).awaitWatch("servers");
		Thread.sleep(50);
		long silenceNanos = System.nanoTime();
		if (Util.TROUBLE) {
			proxies.forEach(Proxy::silenceOpenConnections);
			Util.record("open connections to the store are silent from now on, new ones work; last watch of servers began "
					+ (silenceNanos - watchNanos) / 1_000_000 + " ms ago");
		}
		sleepUntil(silenceNanos + REMOVAL_AFTER_SILENCE_MILLIS * 1_000_000);
		store.remove("servers", "i-1");
		long ackNanos = System.nanoTime();
		Util.record("the store acknowledged that the entry of i-1 is removed");
		sleepUntil(ackNanos + SERVES_MILLIS * 1_000_000);
		engines.get(0).close();
		long late = arrivals.stream()
			.filter((arrival) -> arrival.engine().equals("i-1"))
			.filter((arrival) -> arrival.nanos() - ackNanos > DRAIN_MILLIS * 1_000_000)
			.peek((arrival) -> Util.record("late: " + arrival.id() + " reached i-1 "
					+ (arrival.nanos() - ackNanos) / 1_000_000 + " ms after the acknowledgement, "
					+ (arrival.nanos() - silenceNanos) / 1_000_000 + " ms after the silence"))
			.count();
		Util.record(late + " requests reached i-1 later than drain-ms (" + DRAIN_MILLIS + " ms)");
		return late > 0;
	}

	private static void sleepUntil(long nanos) throws InterruptedException {
		Thread.sleep(Math.max(0, (nanos - System.nanoTime()) / 1_000_000));
	}

	private static void sendRequests(Daemon daemon, String path) throws Exception {
		while (true) {
			String id = Client.newId();
			try (Client client = new Client(daemon.port, 3000)) {
				client.send(path.startsWith("/ficha") ? "GET" : "POST", path, id, Sites.KEY, 3000, new byte[0]);
				Util.record(daemon.name + " answered " + id + " with " + client.read().status());
			}
			catch (IOException ex) {
				Util.record(daemon.name + " did not answer " + id + ": " + ex.getMessage());
			}
			Thread.sleep(100);
		}
	}

}
