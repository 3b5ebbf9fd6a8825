import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** ORDER: a machine is killed in the middle of a stream, and the client resumes the stream at another one. */
final class ResumedStream {

	private static final int EVENTS = 43;

	/** Ids that need more than 32 bits, as those made of a time in milliseconds do. */
	private static final long FIRST_EVENT_ID = 1_733_400_000_000L;

	public static void main(String[] args) throws Exception {
		Util.runCase(Path.of(args[0]), ResumedStream::run);
	}

	private static boolean run() throws Exception {
		Store store = new Store();
		for (int i = 1; i <= 3; i++) {
			Engine engine = new Engine("i-" + i, "campo-ops", "centro-" + i, (id, path, body) -> body);
			engine.streamEvents(EVENTS, FIRST_EVENT_ID);
			store.put("servers", engine.id, engine.entry("ready"));
		}
		ObjectNode config = Sites.withRoute(Sites.configuration(1), "/obstruccion/", "streaming", 20000, 2);
		((ObjectNode) config.get("routes").get(0)).put("resumable", true).put("gap-target-ms", 250);
		store.put("config", "main", config);
		List<Daemon> daemons = new ArrayList<>();
		for (String name : List.of("centro-1-1", "centro-1-2", "centro-2-1", "centro-2-2", "centro-3-1")) {
			daemons.add(new Daemon("edge-" + name, name.substring(0, 8), store.port()));
		}
		for (Daemon daemon : daemons) {
			daemon.awaitReady();
		}
		Thread.sleep(500);
		List<Long> ids = new ArrayList<>();
		if (Util.TROUBLE) {
			Util.start("killer", () -> {
				Thread.sleep(1000);
				daemons.get(0).signal("KILL");
			});
		}
		for (Daemon daemon : daemons) {
			String id = Client.newId();
			OptionalLong last = ids.isEmpty() ? OptionalLong.empty() : OptionalLong.of(ids.get(ids.size() - 1));
			Util.record("client sends " + id + " to " + daemon.name + ", last event " + last);
			try (Client client = new Client(daemon.port, 5000)) {
				client.sendStreaming("/obstruccion/1", id, Sites.KEY, last);
				client.readEvents(ids);
				Util.record("the stream is complete");
				break;
			}
			catch (IOException ex) {
				Util.record("the stream broke off after " + ids.size() + " events: " + ex.getMessage());
			}
		}
		Util.record("event ids: " + ids);
		long repeated = ids.size() - ids.stream().distinct().count();
		Util.record(repeated + " pieces came twice, " + (EVENTS - ids.stream().distinct().count()) + " are missing");
		return repeated > 0;
	}

}
