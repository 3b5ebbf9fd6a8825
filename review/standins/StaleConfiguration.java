import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** CONFIG: connections to the store go silent, then a configuration is acknowledged. */
final class StaleConfiguration {

	private static final long CONFIG_APPLY_MILLIS = 2000;

	private static final long CONTACT_MILLIS = 3000;

	private static final long CHANGE_AFTER_SILENCE_MILLIS = 3100;

	private record Sent(String daemon, String id, String path, long nanos, int status) {

	}

	public static void main(String[] args) throws Exception {
		Util.runCase(Path.of(args[0]), StaleConfiguration::run);
	}

	private static ObjectNode configuration(int version, String changing) {
		return Sites.withRoute(Sites.withRoute(Sites.configuration(version), "/brigada/", "unsafe", 1500, 1), changing,
				"safe", 1500, 2);
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
		store.put("config", "main", configuration(1, "/dropped/"));
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
		Queue<Sent> sent = new ConcurrentLinkedQueue<>();
		for (Daemon daemon : daemons) {
			for (String path : List.of("/brigada/1", "/dropped/1", "/added/1")) {
				Util.start("client", () -> sendRequests(daemon, path, sent));
			}
		}
		Thread.sleep(5000);
		long watchNanos = proxies.get(0).awaitWatch("config");
		while (Math.max(proxies.get(0).watchAgeMillis("servers"), proxies.get(0).watchAgeMillis("crash-event")) > 900) {
			watchNanos = proxies.get(0).awaitWatch("config");
		}
		Thread.sleep(20);
		long silenceNanos = System.nanoTime();
		if (Util.TROUBLE) {
			proxies.forEach(Proxy::silenceOpenConnections);
			Util.record("open connections to the store are silent from now on, new ones work; last watch of config began "
					+ (silenceNanos - watchNanos) / 1_000_000 + " ms ago");
		}
		Thread.sleep(CHANGE_AFTER_SILENCE_MILLIS);
		store.put("config", "main", configuration(4, "/added/"));
		long ackNanos = System.nanoTime();
		Util.record("the store acknowledged version 4, which drops /dropped/ and adds /added/");
		Thread.sleep(6000);
		long late = sent.stream()
			.filter((request) -> request.nanos() - ackNanos > CONFIG_APPLY_MILLIS * 1_000_000)
			.filter((request) -> request.nanos() - silenceNanos > CONTACT_MILLIS * 1_000_000)
			.filter((request) -> request.path().startsWith("/dropped/") ? request.status() == 200
					: request.status() == 404)
			.peek((request) -> Util.record("old version: " + request.path() + " " + request.id() + " at "
					+ request.daemon() + " got " + request.status() + ", sent "
					+ (request.nanos() - ackNanos) / 1_000_000 + " ms after the acknowledgement, "
					+ (request.nanos() - silenceNanos) / 1_000_000 + " ms after the silence"))
			.count();
		Util.record(late + " requests sent later than config-apply-ms were handled as only version 1 allows");
		return late > 0;
	}

	private static void sendRequests(Daemon daemon, String path, Queue<Sent> sent) throws Exception {
		while (true) {
			String id = Client.newId();
			try (Client client = new Client(daemon.port, 3000)) {
				long nanos = System.nanoTime();
				client.send(path.startsWith("/brigada") ? "POST" : "GET", path, id, Sites.KEY, 3000, new byte[0]);
				int status = client.read().status();
				sent.add(new Sent(daemon.name, id, path, nanos, status));
				Util.record(daemon.name + " answered " + id + " " + path + " with " + status);
			}
			catch (IOException ex) {
				Util.record(daemon.name + " did not answer " + id + ": " + ex.getMessage());
			}
			Thread.sleep(50);
		}
	}

}
