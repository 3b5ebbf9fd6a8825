import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stand-in for an engine: one of a plain service, or one that holds layers of a model, takes
 * "place" orders and runs streams along a path. Thread-safe.
 */
final class Engine {

	/** How long an engine takes to load layers. */
	private static final long LOAD_MILLIS = 800;

	static final int EVENTS = 43;

	private static final long EVENT_MILLIS = 50;

	/** All engines that run, by address. */
	private static final Map<String, Engine> RUNNING = new ConcurrentHashMap<>();

	private final String id;

	private final String service;

	private final String zone;

	private final boolean model;

	private final StoreStandIn store;

	private final Record record;

	/** Told of each request that this engine begins: the attempt id, and the engine. */
	private final BiConsumer<String, Engine> onRun;

	private final HttpServerStandIn server;

	private final long born = System.currentTimeMillis();

	/** How long a request to a plain service takes. */
	private static final long WORK_MILLIS = 30;

	/** Until when this engine is silent. */
	private volatile long silentUntilNanos = System.nanoTime();

	/** Whether this engine is in trouble and answers streams with bytes that are no answer. */
	private volatile boolean troubled;

	private String state = "ready";

	private int from;

	private int to;

	private boolean busy;

	private long sequence;

	private long highestFencing;

	private volatile boolean ended;

	Engine(String id, String service, String zone, boolean model, StoreStandIn store, Record record,
			BiConsumer<String, Engine> onRun) throws IOException {
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.model = model;
		this.store = store;
		this.record = record;
		this.onRun = onRun;
		this.server = new HttpServerStandIn(id, this::serve);
		RUNNING.put(this.server.address(), this);
		publish();
	}

	String id() {
		return this.id;
	}

	String service() {
		return this.service;
	}

	String zone() {
		return this.zone;
	}

	/** Returns whether this engine is the first one of paths. */
	synchronized boolean isFirst() {
		return this.from == 0 && this.to > 0;
	}

	/** Returns whether the engines hold all layers together. */
	static boolean holdAllLayers(List<Engine> engines) {
		for (int layer = 0; layer < Configuration.LAYERS; layer++) {
			int wanted = layer;
			if (engines.stream().noneMatch((engine) -> engine.holds(wanted, wanted + 1))) {
				return false;
			}
		}
		return true;
	}

	/** Writes this engine's entry, unless it stands in the store as it is. */
	synchronized void publish() {
		if (this.ended) {
			return;
		}
		ObjectNode entry = Json.object()
			.put("service", this.service)
			.put("address", this.server.address())
			.put("zone", this.zone)
			.put("version", "v1")
			.put("slots", 50)
			.put("state", this.state)
			.put("cold-remaining-ms", 0)
			.put("sequence", 1)
			.put("born", this.born);
		if (this.model) {
			entry.put("phase", "colocated").put("route-kind", "a100");
			putModel(entry);
		}
		this.store.put("servers", this.id, entry);
	}

	private void putModel(ObjectNode target) {
		target.putArray("models").addObject().put("name", "m0").put("version", 1).putArray("adapters");
		if (this.to > this.from) {
			target.putObject("layers").put("from", this.from).put("to", this.to).put("version", 1);
		}
	}

	/** Falls silent for a time and goes on: nothing is read, answered or sent meanwhile. */
	void fallSilent(long millis) {
		this.silentUntilNanos = System.nanoTime() + millis * 1_000_000;
		this.record.add("engine " + this.id + " falls silent for " + millis + " ms");
	}

	private void awaitVoice() throws InterruptedException {
		for (long nanos = this.silentUntilNanos - System.nanoTime(); nanos > 0; nanos = this.silentUntilNanos
				- System.nanoTime()) {
			Thread.sleep(nanos / 1_000_000 + 1);
		}
	}

	/** From now on, answers streams with bytes that are no answer, without end. */
	void breakDown() {
		this.troubled = true;
		this.record.add("engine " + this.id + " is in trouble");
	}

	/** Reports that this engine drains. */
	synchronized void drain() {
		this.state = "draining";
		this.record.add("engine " + this.id + " drains");
		publish();
	}

	/** Ends this engine, like a process that ends: connections are reset, nothing listens. */
	void end() {
		synchronized (this) {
			this.ended = true;
		}
		RUNNING.remove(this.server.address());
		this.server.close();
		this.record.add("engine " + this.id + " ended");
	}

	private HttpServerStandIn.Answer serve(HttpServerStandIn.Request request) throws Exception {
		awaitVoice();
		String expected = request.headers().get("expect-instance");
		if (expected != null && !expected.equals(this.id)) {
			return misdirected();
		}
		if (this.model && request.path().equals("/report")) {
			return HttpServerStandIn.Answer.json(200, report());
		}
		if (this.model && request.path().equals("/order")) {
			return HttpServerStandIn.Answer.json(order(Json.MAPPER.readTree(request.body())), Json.object());
		}
		if (request.path().equals("/healthz")) {
			return HttpServerStandIn.Answer.json(200, Json.object()).with("Instance-Id", this.id);
		}
		String attempt = request.headers().getOrDefault("attempt-id", "");
		if (this.model) {
			return stream(request, attempt);
		}
		this.onRun.accept(attempt, this);
		Thread.sleep(WORK_MILLIS);
		return signed(200, attempt, "answer " + attempt);
	}

	private HttpServerStandIn.Answer misdirected() {
		return new HttpServerStandIn.Answer(421, leaving(new LinkedHashMap<>(Map.of("Instance-Id", this.id))),
				new byte[0]);
	}

	// An engine that leaves says so in all its answers.
	private synchronized Map<String, String> leaving(Map<String, String> headers) {
		if (this.state.equals("draining")) {
			headers.put("Server-Leaving", "1");
		}
		return headers;
	}

	private HttpServerStandIn.Answer signed(int status, String attempt, String body) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Attempt-Id", attempt);
		headers.put("Engine-Signature", this.id + "." + attempt);
		return new HttpServerStandIn.Answer(status, leaving(headers), body.getBytes(StandardCharsets.UTF_8));
	}

	private synchronized ObjectNode report() {
		ObjectNode report = Json.object()
			.put("phase", "colocated")
			.put("busy", this.busy)
			.put("sequence", this.sequence)
			.put("queued", 0)
			.put("active", 0)
			.put("kv-used", 0)
			.put("kv-total-tokens", 100_000)
			.put("prefix-handles", 0)
			.put("pace", 1.0)
			.put("born", this.born);
		report.putArray("stalled");
		putModel(report);
		return report;
	}

	// Orders are carried out as the pages tell: fences and the expected sequence are checked,
	// the layers are held after some time.
	private synchronized int order(JsonNode order) {
		int orderFrom = order.path("from").asInt();
		int orderTo = order.path("to").asInt();
		long fencing = order.path("fencing-token").asLong(0);
		int status = orderStatus(order, orderFrom, orderTo, fencing);
		this.record.add("engine " + this.id + " got an order: layers " + orderFrom + "-" + orderTo + ", fencing token "
				+ fencing + ", answered " + status);
		if (status != 202) {
			return status;
		}
		this.sequence++;
		this.busy = true;
		HttpServerStandIn.start("load", () -> {
			try {
				Thread.sleep(LOAD_MILLIS);
			}
			catch (InterruptedException ex) {
				return;
			}
			synchronized (this) {
				this.from = orderFrom;
				this.to = orderTo;
				this.busy = false;
				this.record.add("engine " + this.id + " holds layers " + orderFrom + "-" + orderTo);
				publish();
			}
		});
		return status;
	}

	private int orderStatus(JsonNode order, int orderFrom, int orderTo, long fencing) {
		if (!order.path("op").asText().equals("place")) {
			return 400;
		}
		if (fencing < this.highestFencing) {
			return 412;
		}
		this.highestFencing = fencing;
		if (this.from == orderFrom && this.to == orderTo) {
			return 200;
		}
		boolean stale = order.has("expect") && order.path("expect").asLong() != this.sequence;
		return (stale || this.busy) ? 409 : 202;
	}

	private synchronized boolean holds(int first, int end) {
		return !this.ended && first >= this.from && end <= this.to;
	}

	// Runs a stream on the path that the request names, or alone with all layers.
	private HttpServerStandIn.Answer stream(HttpServerStandIn.Request request, String attempt) throws Exception {
		String path = request.headers().getOrDefault("hop-count", this.server.address() + "=0-" + Configuration.LAYERS);
		List<String> stages = new ArrayList<>();
		for (String part : path.split(",")) {
			String address = part.substring(0, part.indexOf('='));
			stages.add(address);
			String[] layers = part.substring(part.indexOf('=') + 1).split("-");
			Engine engine = RUNNING.get(address);
			if (engine == null || !engine.holds(Integer.parseInt(layers[0]), Integer.parseInt(layers[1]))) {
				int status = (engine == null) ? 503 : 421;
				return new HttpServerStandIn.Answer(status,
						leaving(new LinkedHashMap<>(Map.of("At-Server", address, "Not-Executed", "1"))), new byte[0]);
			}
		}
		this.onRun.accept(attempt, this);
		OutputStream out = request.connection().getOutputStream();
		StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nEngine-Signature: "
				+ this.id + "." + attempt + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
		leaving(new LinkedHashMap<>()).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
		out.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
		if (this.troubled) {
			sendWithoutEnd(out, attempt);
		}
		int last = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
		for (int event = last + 1; event <= EVENTS; event++) {
			Thread.sleep(EVENT_MILLIS);
			for (String address : stages) {
				awaitVoiceOf(RUNNING.get(address));
			}
			String text = "id: " + event + "\ndata: " + attempt + "\n\n";
			out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
		return HttpServerStandIn.Answer.WRITTEN;
	}

	private static void awaitVoiceOf(Engine engine) throws InterruptedException {
		if (engine != null) {
			engine.awaitVoice();
		}
	}

	// Sends lines of digits until the caller closes.
	private void sendWithoutEnd(OutputStream out, String attempt) throws IOException {
		byte[] bytes = ("5d41402abc4b2a76b9719d911017c592".repeat(4) + "\n\n").repeat(30)
			.getBytes(StandardCharsets.ISO_8859_1);
		byte[] size = (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
		long sent = 0;
		try {
			while (true) {
				out.write(size);
				out.write(bytes);
				out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
				sent += bytes.length;
			}
		}
		finally {
			this.record.add("engine " + this.id + " sent " + sent + " bytes that are no answer to " + attempt
					+ " until the caller closed");
		}
	}

}
