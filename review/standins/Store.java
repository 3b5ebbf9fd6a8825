import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Sound stand-in for the platform's metadata store: lists, watches and conditional writes. */
final class Store implements AutoCloseable {

	static final ObjectMapper JSON = new ObjectMapper();

	private final HttpServer server;

	private final Map<String, TreeMap<String, ObjectNode>> objects = new HashMap<>();

	/** For how long changes are kept, history-s of the settings. */
	private static final long HISTORY_NANOS = 20_000_000_000L;

	/** The changes in order, each with the time at which it is forgotten. */
	private final List<Change> history = new ArrayList<>();

	/** Revision of the last change that is forgotten. */
	private long forgotten;

	private long revision = 10;

	private record Change(ObjectNode event, long endNanos) {

	}

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/objects/", this::handle);
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	/** Writes an object as the operator or an engine does; the return is the acknowledgement. */
	synchronized void put(String kind, String name, JsonNode spec) {
		ObjectNode previous = kind(kind).get(name);
		if (previous == null || !previous.path("spec").equals(spec)) {
			write(kind, name, spec);
		}
	}

	synchronized void remove(String kind, String name) {
		ObjectNode object = kind(kind).remove(name);
		if (object != null) {
			this.revision++;
			addEvent(kind, object, true);
		}
	}

	private TreeMap<String, ObjectNode> kind(String kind) {
		return this.objects.computeIfAbsent(kind, (key) -> new TreeMap<>());
	}

	private ObjectNode write(String kind, String name, JsonNode spec) {
		this.revision++;
		ObjectNode object = JSON.createObjectNode();
		object.putObject("metadata").put("name", name).put("revision", this.revision);
		object.set("spec", spec);
		kind(kind).put(name, object);
		addEvent(kind, object, false);
		return object;
	}

	private void addEvent(String kind, ObjectNode object, boolean deleted) {
		ObjectNode event = JSON.createObjectNode().put("kind", kind).put("at", this.revision).put("deleted", deleted);
		event.set("object", object);
		this.history.add(new Change(event, System.nanoTime() + HISTORY_NANOS));
		notifyAll();
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			String[] path = exchange.getRequestURI().getPath().split("/");
			Map<String, String> query = new HashMap<>();
			if (exchange.getRequestURI().getRawQuery() != null) {
				for (String part : exchange.getRequestURI().getRawQuery().split("&")) {
					String[] pair = part.split("=", 2);
					query.put(pair[0], URLDecoder.decode(pair[pair.length - 1], StandardCharsets.UTF_8));
				}
			}
			JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
			ObjectNode out = JSON.createObjectNode();
			int status = serve(exchange.getRequestMethod(), path, query, body, out);
			byte[] bytes = JSON.writeValueAsBytes(out);
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(status, bytes.length);
			exchange.getResponseBody().write(bytes);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized int serve(String method, String[] path, Map<String, String> query, JsonNode body,
			ObjectNode out) throws InterruptedException {
		String kind = path[2];
		if (method.equals("GET") && query.containsKey("watch")) {
			return watch(kind, query, out);
		}
		if (method.equals("GET") && path.length > 3) {
			ObjectNode object = kind(kind).get(path[3]);
			if (object == null) {
				return 404;
			}
			out.setAll(object);
			return 200;
		}
		if (method.equals("GET")) {
			ArrayNode items = out.put("has-more", false).put("at", this.revision).putArray("items");
			kind(kind).tailMap(query.getOrDefault("after", ""), false).values().forEach(items::add);
			return 200;
		}
		String name = (path.length > 3) ? path[3] : body.path("metadata").path("name").asText();
		ObjectNode existing = kind(kind).get(name);
		if (method.equals("POST")) {
			out.setAll((existing != null) ? existing : write(kind, name, body.path("spec")));
			return (existing != null) ? 409 : 200;
		}
		if (existing == null) {
			return 404;
		}
		String expected = query.containsKey("revision") ? query.get("revision")
				: body.path("metadata").path("revision").asText();
		if (!expected.isEmpty() && !expected.equals(existing.path("metadata").path("revision").asText())) {
			out.setAll(existing);
			return 409;
		}
		if (method.equals("DELETE")) {
			remove(kind, name);
			out.setAll(existing);
			return 200;
		}
		out.setAll(write(kind, name, body.path("spec")));
		return 200;
	}

	private int watch(String kind, Map<String, String> query, ObjectNode out) throws InterruptedException {
		long after = Long.parseLong(query.get("watch"));
		long end = System.nanoTime() + Long.parseLong(query.get("wait-ms")) * 1_000_000;
		while (true) {
			while (!this.history.isEmpty() && this.history.get(0).endNanos() - System.nanoTime() < 0) {
				this.forgotten = this.history.remove(0).event().path("at").asLong();
			}
			if (after < this.forgotten) {
				return 410;
			}
			ArrayNode events = JSON.createArrayNode();
			for (Change change : this.history) {
				ObjectNode event = change.event();
				if (event.path("at").asLong() > after && event.path("kind").asText().equals(kind)) {
					events.add(event);
				}
			}
			long remaining = (end - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || remaining <= 0) {
				out.put("at", this.revision).set("events", events);
				return 200;
			}
			wait(remaining);
		}
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

}
