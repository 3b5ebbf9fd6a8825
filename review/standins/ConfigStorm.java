import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** CONFIG: configurations come in quick succession while a machine is frozen. */
final class ConfigStorm {

	private static final int ROUTES = 3150;

	private static final int CHANGES = 25;

	private static final long GAP_MILLIS = 60;

	private static final long FREEZE_MILLIS = 3400;

	private static final long CONTACT_MILLIS = 3000;

	private static final long CONFIG_APPLY_MILLIS = 2000;

	/** For how long requests are sent after the frozen machine is in touch again. */
	private static final long WATCHED_MILLIS = 24000;

	private record Sent(String daemon, String id, String path, long nanos, int status) {

	}

	public static void main(String[] args) throws Exception {
		Util.runCase(Path.of(args[0]), ConfigStorm::run);
	}

	/** Makes a configuration of version {@code version}; the last one adds the route /added/. */
	private static ObjectNode configuration(int version) {
		ObjectNode config = Sites.withRoute(Sites.configuration(version), "/brigada/", "unsafe", 1500, 1);
		Sites.withRoute(config, "/ficha/", "safe", 1500 + version, 2);
		for (int i = 0; i < ROUTES; i++) {
			Sites.withRoute(config, "/idle-" + i + "/", "safe", 1500, 2);
		}
		if (version == 1 + CHANGES) {
			Sites.withRoute(config, "/added/", "safe", 1500, 2);
		}
		return config;
	}

	private static boolean run() throws Exception {
		Store store = new Store();
		for (int i = 1; i <= 3; i++) {
			String name = "i-" + i;
			Engine engine = new Engine(name, "campo-ops", "centro-" + i, (id, path, body) -> {
				Util.record(name + " runs " + id + " " + path);
				Thread.sleep(60);
				return ("answer to " + id).getBytes();
			});
			store.put("servers", engine.id, engine.entry("ready"));
		}
		List<ObjectNode> versions = new ArrayList<>();
		for (int version = 1; version <= 1 + CHANGES; version++) {
			versions.add(configuration(version));
		}
		Util.record("the configuration has " + versions.get(CHANGES).toString().length() + " bytes");
		store.put("config", "main", versions.get(0));
		List<Daemon> daemons = new ArrayList<>();
		for (String name : List.of("centro-1-1", "centro-1-2", "centro-2-1", "centro-2-2", "centro-3-1")) {
			daemons.add(new Daemon("edge-" + name, name.substring(0, 8), store.port()));
		}
		for (Daemon daemon : daemons) {
			daemon.awaitReady();
		}
		Queue<Sent> sent = new ConcurrentLinkedQueue<>();
		for (Daemon daemon : daemons) {
			for (String path : List.of("/brigada/1", "/ficha/1", "/added/1")) {
				Util.start("client", () -> sendRequests(daemon, path, sent));
			}
		}
		Thread.sleep(4000);
		Daemon frozen = daemons.get(0);
		long freezeNanos = System.nanoTime();
		if (Util.TROUBLE) {
			frozen.signal("STOP");
		}
		Thread.sleep(300);
		long nextNanos = System.nanoTime();
		for (int i = 1; i <= CHANGES; i++) {
			sleepUntil(nextNanos);
			store.put("config", "main", versions.get(i));
			nextNanos += GAP_MILLIS * 1_000_000;
		}
		long ackNanos = System.nanoTime();
		Util.record("the store acknowledged version " + (1 + CHANGES) + ", which adds /added/, after " + CHANGES
				+ " changes");
		sleepUntil(freezeNanos + FREEZE_MILLIS * 1_000_000);
		if (Util.TROUBLE) {
			frozen.signal("CONT");
		}
		long thawNanos = System.nanoTime();
		Thread.sleep(CONTACT_MILLIS + WATCHED_MILLIS);
		long late = sent.stream()
			.filter((request) -> request.nanos() - ackNanos > CONFIG_APPLY_MILLIS * 1_000_000)
			.filter((request) -> request.nanos() - thawNanos > CONTACT_MILLIS * 1_000_000)
			.filter((request) -> request.path().startsWith("/added/") && request.status() == 404)
			.peek((request) -> Util.record("old version: " + request.path() + " " + request.id() + " at "
					+ request.daemon() + " got 404, sent " + (request.nanos() - ackNanos) / 1_000_000
					+ " ms after the acknowledgement, " + (request.nanos() - thawNanos) / 1_000_000
					+ " ms after the freeze"))
			.count();
		for (Daemon daemon : daemons) {
			long served = sent.stream()
				.filter((request) -> request.daemon().equals(daemon.name) && request.status() == 200)
				.filter((request) -> request.nanos() - thawNanos > CONTACT_MILLIS * 1_000_000)
				.count();
			Util.record(daemon.name + " served " + served + " requests since, is alive: " + daemon.process.isAlive()
					+ ", ready: " + daemon.isReady());
		}
		Util.record(late + " requests sent later than config-apply-ms were refused with 404 though the route is there");
		return late > 0;
	}

	private static void sleepUntil(long nanos) throws InterruptedException {
		Thread.sleep(Math.max(0, (nanos - System.nanoTime()) / 1_000_000));
	}

	/** Sends requests one after the other on a connection that is kept open. */
	private static void sendRequests(Daemon daemon, String path, Queue<Sent> sent) throws Exception {
		while (true) {
			try (Client client = new Client(daemon.port, 6000)) {
				boolean closes = false;
				while (!closes) {
					String id = Client.newId();
					long nanos = System.nanoTime();
					client.send(path.startsWith("/brigada") ? "POST" : "GET", path, id, Sites.KEY, 6000, new byte[0]);
					Client.Reply reply = client.read();
					sent.add(new Sent(daemon.name, id, path, nanos, reply.status()));
					Util.record(daemon.name + " answered " + id + " " + path + " with " + reply.status());
					closes = reply.closes();
					Thread.sleep(100);
				}
			}
			catch (IOException ex) {
				Util.record(daemon.name + " closed a connection: " + ex.getMessage());
				Thread.sleep(100);
			}
		}
	}

}
