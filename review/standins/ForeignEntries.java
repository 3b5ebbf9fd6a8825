import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** DRAIN: another writer leaves entries among those of the engines, later two engines drain. */
final class ForeignEntries {

	private static final int ENTRIES = 25;

	private static final int ENTRY_BYTES = 660_000;

	private static final long GAP_MILLIS = 5;

	private static final long DRAIN_MILLIS = 2000;

	/** How long an engine serves after it has reported that it drains. */
	private static final long SERVES_MILLIS = 8000;

	private record Arrival(String engine, String id, long nanos) {

	}

	public static void main(String[] args) throws Exception {
		Util.runCase(Path.of(args[0]), ForeignEntries::run);
	}

	private static boolean run() throws Exception {
		Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
		Store store = new Store();
		List<Engine> engines = new ArrayList<>();
		for (int i = 1; i <= 3; i++) {
			String name = "i-" + i;
			engines.add(new Engine(name, "campo-ops", "centro-" + i, (id, path, body) -> {
				arrivals.add(new Arrival(name, id, System.nanoTime()));
				Util.record(name + " runs " + id);
				Thread.sleep(60);
				return ("answer to " + id).getBytes();
			}));
		}
		engines.forEach((engine) -> store.put("servers", engine.id, engine.entry("ready")));
		store.put("config", "main", Sites.withRoute(Sites.withRoute(Sites.configuration(1), "/brigada/", "unsafe", 1500, 1), "/ficha/",
				"safe", 1500, 2));
		List<Daemon> daemons = new ArrayList<>();
		for (int i = 1; i <= 3; i++) {
			daemons.add(new Daemon("edge-centro-" + i + "-1", "centro-" + i, store.port()));
		}
		for (Daemon daemon : daemons) {
			daemon.awaitReady();
		}
		for (Daemon daemon : daemons) {
			for (String path : List.of("/brigada/1", "/ficha/1")) {
				Util.start("client", () -> sendRequests(daemon, path));
			}
		}
		Thread.sleep(4000);
		if (Util.TROUBLE) {
			for (int i = 0; i < ENTRIES; i++) {
				store.put("servers", "x-" + i, Store.JSON.createObjectNode().put("note", "x".repeat(ENTRY_BYTES)));
				Thread.sleep(GAP_MILLIS);
			}
			Util.record("another writer has written " + ENTRIES + " entries without the fields of an engine");
		}
		Thread.sleep(5000);
		long late = drain(store, engines.get(0), arrivals);
		// The store has forgotten the changes of the entries by the second time.
		Thread.sleep(10000);
		return late + drain(store, engines.get(1), arrivals) > 0;
	}

	/** Lets an engine drain and returns how many requests reached it too late. */
	private static long drain(Store store, Engine engine, Queue<Arrival> arrivals) throws Exception {
		store.put("servers", engine.id, engine.entry("draining"));
		long ackNanos = System.nanoTime();
		Util.record("the store acknowledged that " + engine.id + " is draining");
		Thread.sleep(SERVES_MILLIS);
		engine.close();
		store.remove("servers", engine.id);
		long late = arrivals.stream()
			.filter((arrival) -> arrival.engine().equals(engine.id))
			.filter((arrival) -> arrival.nanos() - ackNanos > DRAIN_MILLIS * 1_000_000)
			.peek((arrival) -> Util.record("late: " + arrival.id() + " reached " + engine.id + " "
					+ (arrival.nanos() - ackNanos) / 1_000_000 + " ms after the acknowledgement"))
			.count();
		Util.record(late + " requests reached " + engine.id + " later than drain-ms (" + DRAIN_MILLIS + " ms)");
		return late;
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
