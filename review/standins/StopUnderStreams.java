import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** LOST: a machine gets SIGTERM; clients use their open connections again 3 s later. */
final class StopUnderStreams {

	private static final int CLIENTS = 60;

	private static final int EVENTS = 110;

	/** Requests sent no later than this after the SIGTERM may be cut off. */
	private static final long EXCUSED_MICROS = 3_000_000;

	private static final long FIRST_MICROS = 3_000_500;

	private static final long GAP_MICROS = 250;

	public static void main(String[] args) throws Exception {
		Util.runCase(Path.of(args[0]), StopUnderStreams::run);
	}

	private static boolean run() throws Exception {
		Set<String> passedOn = ConcurrentHashMap.newKeySet();
		Store store = new Store();
		for (int i = 1; i <= 3; i++) {
			Engine engine = new Engine("i-" + i, "campo-ops", "centro-" + i, (id, path, body) -> body);
			engine.streamEvents(EVENTS, 1);
			engine.onRun(passedOn::add);
			store.put("servers", engine.id, engine.entry("ready").put("slots", 134));
		}
		ObjectNode config = Sites.withRoute(Sites.configuration(1), "/obstruccion/", "streaming", 20000, 2);
		((ObjectNode) config.get("routes").get(0)).put("resumable", true).put("gap-target-ms", 250);
		store.put("config", "main", config);
		List<Daemon> daemons = new ArrayList<>();
		for (int i = 1; i <= 2; i++) {
			daemons.add(new Daemon("edge-centro-" + i + "-1", "centro-" + i, store.port()));
		}
		for (Daemon daemon : daemons) {
			daemon.awaitReady();
		}
		List<Client> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			Client client = new Client(daemons.get(0).port, 12000);
			clients.add(client);
			client.sendStreaming("/obstruccion/1", Client.newId(), Sites.KEY, OptionalLong.of(EVENTS - 2));
			client.readEvents(new ArrayList<>());
		}
		Util.record(CLIENTS + " clients have an answer and keep their connections open");
		Thread.sleep(1000);
		if (Util.TROUBLE) {
			daemons.get(0).signal("TERM");
		}
		// The signal was sent before this time, so that no request counts as later than it was.
		long termNanos = System.nanoTime();
		AtomicInteger lost = new AtomicInteger();
		CountDownLatch done = new CountDownLatch(CLIENTS);
		for (int i = 0; i < CLIENTS; i++) {
			Client client = clients.get(i);
			long at = termNanos + (FIRST_MICROS + i * GAP_MICROS) * 1000;
			Util.start("client", () -> {
				send(client, at, termNanos, passedOn, lost);
				done.countDown();
			});
		}
		done.await();
		Util.record(lost + " requests sent later than 3 s after the SIGTERM were passed on to an engine and cut off");
		return lost.get() > 0;
	}

	private static void send(Client client, long at, long termNanos, Set<String> passedOn, AtomicInteger lost)
			throws InterruptedException {
		Thread.sleep(Math.max(0, (at - System.nanoTime()) / 1_000_000 - 2));
		while (System.nanoTime() < at) {
			Thread.onSpinWait();
		}
		String id = Client.newId();
		List<Long> events = new ArrayList<>();
		long sentMicros = (System.nanoTime() - termNanos) / 1000;
		String outcome = "complete";
		try {
			client.sendStreaming("/obstruccion/1", id, Sites.KEY, OptionalLong.empty());
			client.readEvents(events);
		}
		catch (IOException ex) {
			outcome = "no complete answer: " + ex.getMessage();
			if (sentMicros > EXCUSED_MICROS && passedOn.contains(id) && !ex.getMessage().startsWith("status")) {
				lost.incrementAndGet();
			}
		}
		Util.record(id + " sent " + sentMicros + " us after the SIGTERM, passed on: " + passedOn.contains(id) + ", "
				+ events.size() + " events, " + outcome + ", "
				+ ((System.nanoTime() - termNanos) / 1_000_000) + " ms after the SIGTERM");
	}

}
