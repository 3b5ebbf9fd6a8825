import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store comes back from a copy that is some seconds old; the operator takes a key away and
 * moves a route. Checks the rule CONFIG at each daemon. Arguments: the folder of the record, a
 * temporary folder, 1 with or 0 without the drill, and "later" (eight daemons, of which some
 * follow others; the change comes 6 s after the drill) or "at-once" (five daemons, which follow
 * the store; the change comes 0.2 s after it, while their connections are silent).
 */
final class StoreCopyWatch {

	private static final long APPLY_MILLIS = 2000;

	private static final long REVOKE_MILLIS = 5000;

	private static final List<String> FIVE_MACHINES = List.of("1-1", "1-2", "2-1", "2-2", "3-1");

	/** The five machines of the site and its three spare ones. */
	private static final List<String> EIGHT_MACHINES = List.of("1-1", "1-2", "1-3", "2-1", "2-2", "2-3", "3-1", "3-2");

	private StoreCopyWatch() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = arguments[2].equals("1");
		List<Daemon> daemons = new ArrayList<>();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> daemons.forEach(Daemon::close)));
		int status = 2;
		try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
			status = run(record, Path.of(arguments[1]), trouble, arguments[3].equals("later"), daemons);
		}
		System.exit(status);
	}

	private static int run(Record record, Path folder, boolean trouble, boolean later, List<Daemon> daemons)
			throws Exception {
		StoreStandIn store = new StoreStandIn();
		Map<String, String> runs = new ConcurrentHashMap<>();
		for (String service : List.of("records", "archive")) {
			for (int i = 1; i <= 2; i++) {
				new Engine("i-" + service + i, service, "centro-" + i, false, store, record,
						(attempt, engine) -> runs.put(attempt, engine.service()));
			}
		}
		Configuration configuration = new Configuration(store).addKey("key-kept")
			.addKey("key-taken-away")
			.plainService("records")
			.plainService("archive")
			.route("/stays/", "safe", "records")
			.route("/moves/", "safe", "records");
		configuration.publish();
		for (String machine : later ? EIGHT_MACHINES : FIVE_MACHINES) {
			daemons.add(new Daemon("edge-centro-" + machine, "centro-" + machine.charAt(0), store.address(), folder));
		}
		if (!Daemon.awaitReady(daemons, 25)) {
			record.add("not all daemons became ready");
			return 2;
		}
		record.add("all daemons are ready");
		Thread.sleep(12_000);

		StoreStandIn.Copy copy = store.copy();
		record.add("the copy of the store is made, at revision " + copy.revision());
		int versionsBefore = later ? 6 : 2;
		for (int i = 0; i < versionsBefore; i++) {
			configuration.addKey("key-more-" + i).publish();
			record.add("operator writes version " + configuration.version() + ", revision " + store.revision());
			Thread.sleep(500);
		}
		Thread.sleep(later ? 1000 : 2500);
		if (trouble) {
			record.add("the store is away, at revision " + store.revision());
			store.restore(copy, 400, later);
			record.add("the store is back from the copy, at revision " + store.revision());
			configuration.write();
			record.add("operator writes version " + configuration.version() + " again, revision " + store.revision());
		}
		Thread.sleep(later ? 6000 : 200);

		configuration.removeKey("key-taken-away")
			.route("/moves/", "safe", "archive")
			.route("/added/", "safe", "archive")
			.publish();
		long acknowledgedNanos = System.nanoTime();
		record.add("operator writes version " + configuration.version() + ", revision " + store.revision()
				+ ": key-taken-away is gone, /moves/ goes to archive, /added/ is there");

		Set<String> broken = ConcurrentHashMap.newKeySet();
		int[] counts = new int[3];
		for (int round = 0; round < 24; round++) {
			for (Daemon daemon : daemons) {
				long sentMillis = (System.nanoTime() - acknowledgedNanos) / 1_000_000;
				String id = String.format("%02d%s", round, daemon.name().replace("-", ""));
				Client.Answer moved = request(daemon, "/moves/a", "key-kept", "m" + id);
				Client.Answer taken = request(daemon, "/stays/a", "key-taken-away", "t" + id);
				Client.Answer added = request(daemon, "/added/a", "key-kept", "n" + id);
				record.add(daemon.name() + " " + sentMillis + " ms after the acknowledgement: /moves/ " + moved.status()
						+ " run by " + runs.get("m" + id) + ", with the key taken away " + taken.status() + " run by "
						+ runs.get("t" + id) + ", /added/ " + added.status());
				if (sentMillis > APPLY_MILLIS && "records".equals(runs.get("m" + id))) {
					counts[0]++;
					broken.add(daemon.name());
				}
				if (sentMillis > REVOKE_MILLIS && runs.containsKey("t" + id)) {
					counts[1]++;
					broken.add(daemon.name());
				}
				if (sentMillis > APPLY_MILLIS && added.status() == 404) {
					counts[2]++;
					broken.add(daemon.name());
				}
			}
			Thread.sleep(500);
		}
		boolean running = daemons.stream().allMatch((daemon) -> daemon.process().isAlive());
		String result = "after the bounds: " + counts[0] + " requests run by the old service, " + counts[1]
				+ " requests run with the key taken away, " + counts[2] + " refused on the new route; daemons " + broken
				+ "; all daemons run: " + running;
		record.add(result);
		System.out.println(result);
		return broken.isEmpty() ? 0 : 1;
	}

	private static Client.Answer request(Daemon daemon, String path, String key, String attempt) {
		return Client.send(daemon.callers(), "GET", path,
				Map.of("Host", Configuration.HOST, "Attempt-Id", attempt, "Authorization", "Token " + key), 2000);
	}

}
