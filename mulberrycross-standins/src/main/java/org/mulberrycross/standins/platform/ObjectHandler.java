package org.mulberrycross.standins.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.NotRunException;
import org.mulberrycross.StorePosition;
import org.mulberrycross.http.HttpMessages;
import org.mulberrycross.http.Json;
import org.mulberrycross.platform.ObjectPage;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;
import org.mulberrycross.platform.http.ObjectMessages;

/**
 * HTTP interface of the object API: reads, conditional writes, lists and watches of an
 * {@link ObjectTable}, with the faults of {@link FaultSwitches}. Thread-safe.
 */
public final class ObjectHandler extends HttpHandler {

	private static final String PATH_PREFIX = "/objects/";

	private final ObjectTable table;

	private final FaultSwitches switches;

	/**
	 * Creates a handler.
	 * @param table the objects to read and to write, not null
	 * @param switches the faults to inject and the counters of calls, not null
	 */
	public ObjectHandler(ObjectTable table, FaultSwitches switches) {
		this.table = table;
		this.switches = switches;
	}

	@Override
	public void service(Request request, Response response) throws IOException {
		this.switches.countCall(callName(request));
		applyDelay();
		if (this.switches.isOutage()) {
			HttpMessages.writeJson(response, 503, Map.of("error", "outage"));
			return;
		}
		try {
			serve(request, response);
		}
		catch (NotRunException ex) {
			HttpMessages.writeJson(response, 413, Map.of("error", ex.getMessage()));
		}
	}

	private static String callName(Request request) throws IOException {
		String name = request.getMethod().getMethodString();
		if (request.getDecodedRequestURI().startsWith(PATH_PREFIX)) {
			return (name.equals("PUT") && request.getHeader("If-Match") == null) ? "CREATE" : name;
		}
		return (request.getParameter("watch") != null) ? "WATCH" : "LIST";
	}

	private void applyDelay() {
		try {
			TimeUnit.NANOSECONDS.sleep(this.switches.delay().toNanos());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Replies to a write, or closes the connection if the reply is to be lost.
	 * @param request the request of the write
	 * @param response the response of the write
	 * @param status the HTTP status
	 * @param value the body, encoded as JSON
	 * @throws IOException if the connection fails
	 */
	private void replyToWrite(Request request, Response response, int status, Object value) throws IOException {
		if (this.switches.losesWriteReply()) {
			request.getRequest().getConnection().closeSilently();
			return;
		}
		HttpMessages.writeJson(response, status, value);
	}

	private void serve(Request request, Response response) throws IOException, NotRunException {
		String path = request.getDecodedRequestURI();
		if (!path.startsWith(PATH_PREFIX)) {
			serveCollection(request, response);
			return;
		}
		String key = path.substring(PATH_PREFIX.length());
		switch (request.getMethod().getMethodString()) {
			case "GET" -> read(key, response);
			case "PUT" -> write(key, request, response);
			case "DELETE" -> delete(key, request, response);
			default -> HttpMessages.writeJson(response, 405, Map.of("error", "method not allowed"));
		}
	}

	private void serveCollection(Request request, Response response) throws IOException {
		Set<String> kinds = Set.of(request.getParameter("kinds").split(","));
		if (request.getParameter("watch") != null) {
			WatchResult result = this.table.watch(kinds,
					StorePosition.of(Long.parseLong(request.getParameter("watch"))),
					Duration.ofMillis(Long.parseLong(request.getParameter("timeout-ms"))));
			HttpMessages.writeJson(response, 200,
					new ObjectMessages.Changes(result.revision(),
							result.changes()
								.stream()
								.map((change) -> new ObjectMessages.Item(change.key(), change.version(),
										change.object().map(ObjectHandler::jsonValue)))
								.toList(),
							result.compacted()));
			return;
		}
		ObjectPage page = this.table.list(kinds, Optional.ofNullable(request.getParameter("after")).orElse(""),
				Integer.parseInt(request.getParameter("limit")));
		HttpMessages.writeJson(response, 200, new ObjectMessages.Page(page.revision(), page.objects()
			.stream()
			.map((object) -> new ObjectMessages.Item(object.key(), object.version(), Optional.of(jsonValue(object))))
			.toList(), page.more()));
	}

	private void read(String key, Response response) throws IOException {
		Optional<StoredObject> object = this.table.read(key);
		if (object.isEmpty()) {
			HttpMessages.writeJson(response, 404, Map.of("error", "no such object"));
			return;
		}
		response.setHeader("ETag", "\"" + object.get().version() + "\"");
		HttpMessages.writeJson(response, 200, object.get().value());
	}

	private void write(String key, Request request, Response response) throws IOException, NotRunException {
		Optional<byte[]> body = HttpMessages.readBody(request, ObjectTable.MAX_VALUE_BYTES);
		if (body.isEmpty()) {
			HttpMessages.writeJson(response, 413, Map.of("error", "value is longer than 1 MB"));
			return;
		}
		if (!isJson(body.get())) {
			HttpMessages.writeJson(response, 400, Map.of("error", "value is not JSON"));
			return;
		}
		String expected = request.getHeader("If-Match");
		OptionalLong version = (expected != null) ? this.table.replace(key, body.get(), parseVersion(expected))
				: this.table.create(key, body.get());
		if (version.isEmpty()) {
			HttpMessages.writeJson(response, 412, Map.of("error", "version does not match"));
			return;
		}
		response.setHeader("ETag", "\"" + version.getAsLong() + "\"");
		replyToWrite(request, response, 200, Map.of("version", version.getAsLong()));
	}

	private void delete(String key, Request request, Response response) throws IOException {
		boolean deleted = this.table.delete(key, parseVersion(request.getHeader("If-Match")));
		replyToWrite(request, response, deleted ? 200 : 412, Map.of("deleted", deleted));
	}

	private static long parseVersion(String entityTag) {
		return Long.parseLong(entityTag.replace("\"", ""));
	}

	private static boolean isJson(byte[] value) {
		try {
			return !Json.mapper().readTree(value).isMissingNode();
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static JsonNode jsonValue(StoredObject object) {
		try {
			return Json.mapper().readTree(object.value());
		}
		catch (IOException ex) {
			throw new IllegalStateException("value of " + object.key() + " is not JSON", ex);
		}
	}

}
