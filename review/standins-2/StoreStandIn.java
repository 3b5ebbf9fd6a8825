import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Stand-in for the platform's store, form "objects". It keeps its whole history, and can be
 * away for a moment and come back from a copy of itself ({@link #copy()},
 * {@link #restore(Copy, long)}). Thread-safe.
 */
final class StoreStandIn {

	/** The store's state at a moment. */
	record Copy(long revision, Map<String, TreeMap<String, ObjectNode>> objects, int events) {

	}

	private record Event(long revision, String kind, ObjectNode object, boolean deleted) {

	}

	private final HttpServerStandIn server;

	private Map<String, TreeMap<String, ObjectNode>> objects = new HashMap<>();

	private final List<Event> history = new ArrayList<>();

	private long revision = 100;

	private int era = 1;

	private boolean away;

	/** Connections that return nothing further. */
	private final Set<Socket> silent = new HashSet<>();

	StoreStandIn() throws IOException {
		this.server = new HttpServerStandIn("store", this::serve);
	}

	String address() {
		return this.server.address();
	}

	synchronized long revision() {
		return this.revision;
	}

	/** Writes an object as the operator or an engine does. Returns the revision. */
	synchronized long put(String kind, String name, JsonNode spec) {
		ObjectNode existing = objectsOf(kind).get(name);
		if (existing != null && existing.path("spec").equals(spec)) {
			return this.revision;
		}
		store(kind, name, spec);
		return this.revision;
	}

	synchronized void remove(String kind, String name) {
		ObjectNode removed = objectsOf(kind).remove(name);
		if (removed != null) {
			this.revision++;
			this.history.add(new Event(this.revision, kind, removed, true));
			notifyAll();
		}
	}

	synchronized JsonNode spec(String kind, String name) {
		ObjectNode object = objectsOf(kind).get(name);
		return (object != null) ? object.path("spec") : null;
	}

	synchronized Copy copy() {
		Map<String, TreeMap<String, ObjectNode>> copied = new HashMap<>();
		this.objects.forEach((kind, byName) -> copied.put(kind, new TreeMap<>(byName)));
		return new Copy(this.revision, copied, this.history.size());
	}

	/**
	 * Is away for a moment: calls get no answer. Then the store serves the copy, with the next
	 * era. The connections that were open are reset, or return nothing further.
	 */
	void restore(Copy copy, long awayMillis, boolean reset) throws InterruptedException {
		synchronized (this) {
			this.away = true;
		}
		Thread.sleep(awayMillis);
		List<Socket> before;
		synchronized (this) {
			this.objects = new HashMap<>();
			copy.objects().forEach((kind, byName) -> this.objects.put(kind, new TreeMap<>(byName)));
			while (this.history.size() > copy.events()) {
				this.history.remove(this.history.size() - 1);
			}
			this.revision = copy.revision();
			this.era++;
			before = this.server.openConnections();
			if (reset) {
				before.forEach(HttpServerStandIn::reset);
			}
			else {
				this.silent.addAll(before);
			}
			this.away = false;
			notifyAll();
		}
	}

	private TreeMap<String, ObjectNode> objectsOf(String kind) {
		return this.objects.computeIfAbsent(kind, (key) -> new TreeMap<>());
	}

	private ObjectNode store(String kind, String name, JsonNode spec) {
		this.revision++;
		ObjectNode object = Json.MAPPER.createObjectNode();
		object.putObject("metadata")
			.put("name", name)
			.put("revision", this.revision)
			.put("created", this.revision)
			.put("deletion-pending", false)
			.putArray("finalizers");
		object.set("spec", spec);
		object.putNull("status");
		objectsOf(kind).put(name, object);
		this.history.add(new Event(this.revision, kind, object, false));
		notifyAll();
		return object;
	}

	private synchronized HttpServerStandIn.Answer serve(HttpServerStandIn.Request request) throws Exception {
		while (this.away || this.silent.contains(request.connection())) {
			wait();
		}
		if (request.connection().isClosed()) {
			throw new IOException("connection was reset");
		}
		HttpServerStandIn.Answer answer = route(request);
		return answer.with("Store-Era", Integer.toString(this.era));
	}

	private HttpServerStandIn.Answer route(HttpServerStandIn.Request request) throws Exception {
		String[] parts = request.path().split("/");
		String kind = parts[2];
		String name = (parts.length > 3) ? parts[3] : "";
		switch (request.method()) {
			case "GET":
				if (!name.isEmpty()) {
					ObjectNode object = objectsOf(kind).get(name);
					return (object != null) ? answer(200, object) : answer(404, Json.object());
				}
				return request.query().containsKey("watch") ? watch(kind, request) : list(kind, request);
			case "POST":
				return create(kind, Json.MAPPER.readTree(request.body()));
			case "PUT":
				return replace(kind, name, Json.MAPPER.readTree(request.body()));
			default:
				return delete(kind, name, request.query().get("revision"));
		}
	}

	private HttpServerStandIn.Answer list(String kind, HttpServerStandIn.Request request) {
		ObjectNode page = Json.object();
		ArrayNode items = page.putArray("items");
		objectsOf(kind).tailMap(request.query().getOrDefault("after", ""), false).values().forEach(items::add);
		return answer(200, page.put("has-more", false).put("at", this.revision));
	}

	private HttpServerStandIn.Answer watch(String kind, HttpServerStandIn.Request request) throws Exception {
		long after = Long.parseLong(request.query().get("watch"));
		long endNanos = System.nanoTime() + Long.parseLong(request.query().getOrDefault("wait-ms", "0")) * 1_000_000;
		int askedEra = this.era;
		while (true) {
			if (request.connection().isClosed()
					|| (this.era != askedEra && !this.silent.contains(request.connection()))) {
				throw new IOException("the store was away during this watch");
			}
			if (this.away || this.silent.contains(request.connection())) {
				wait();
				continue;
			}
			if (after > this.revision) {
				return answer(410, Json.object());
			}
			ObjectNode result = Json.object();
			ArrayNode events = result.putArray("events");
			for (Event event : this.history) {
				if (event.revision() > after && event.kind().equals(kind)) {
					events.addObject().put("deleted", event.deleted()).set("object", event.object());
				}
			}
			long waitMillis = (endNanos - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || waitMillis <= 0) {
				return answer(200, result.put("at", this.revision));
			}
			wait(waitMillis);
		}
	}

	private HttpServerStandIn.Answer create(String kind, JsonNode body) {
		String name = body.path("metadata").path("name").asText();
		ObjectNode existing = objectsOf(kind).get(name);
		return (existing != null) ? answer(409, existing) : answer(200, store(kind, name, body.path("spec")));
	}

	private HttpServerStandIn.Answer replace(String kind, String name, JsonNode body) {
		ObjectNode existing = objectsOf(kind).get(name);
		if (existing == null) {
			return answer(404, Json.object());
		}
		JsonNode expected = body.path("metadata").path("revision");
		if (expected.isNumber() && expected.asLong() != existing.path("metadata").path("revision").asLong()) {
			return answer(409, existing);
		}
		if (existing.path("spec").equals(body.path("spec"))) {
			return answer(200, existing);
		}
		return answer(200, store(kind, name, body.path("spec")));
	}

	private HttpServerStandIn.Answer delete(String kind, String name, String revision) {
		ObjectNode existing = objectsOf(kind).get(name);
		if (existing == null) {
			return answer(404, Json.object());
		}
		if (revision != null && Long.parseLong(revision) != existing.path("metadata").path("revision").asLong()) {
			return answer(409, existing);
		}
		remove(kind, name);
		return answer(200, existing);
	}

	private static HttpServerStandIn.Answer answer(int status, JsonNode body) {
		return HttpServerStandIn.Answer.json(status, body);
	}

}
