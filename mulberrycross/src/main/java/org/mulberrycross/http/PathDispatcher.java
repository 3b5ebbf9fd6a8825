package org.mulberrycross.http;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Hands each request to the handler of its path, and answers 404 if there is none.
 * Grizzly's own mapping is not used, since it gives unknown paths below a common prefix,
 * such as {@code /v1/step} beside {@code /v1/orders}, to one of the handlers there.
 * Thread-safe.
 */
final class PathDispatcher extends HttpHandler {

	private static final String ANY_BELOW = "/*";

	private static final int NOT_FOUND = 404;

	private final Map<String, HttpHandler> exact = new ConcurrentHashMap<>();

	private final Map<String, HttpHandler> below = new ConcurrentHashMap<>();

	/**
	 * Adds a handler.
	 * @param path the path; one that ends in {@code /*} stands for all paths below it,
	 * and {@code /} alone for every path without a handler of its own
	 * @param handler the handler, not null
	 */
	void add(String path, HttpHandler handler) {
		Objects.requireNonNull(handler, "handler");
		if (path.equals("/")) {
			this.below.put("", handler);
		}
		else if (path.endsWith(ANY_BELOW)) {
			this.below.put(path.substring(0, path.length() - ANY_BELOW.length()), handler);
		}
		else {
			this.exact.put(path, handler);
		}
	}

	@Override
	public void service(Request request, Response response) throws Exception {
		Optional<HttpHandler> handler = find(request.getRequestURI());
		if (handler.isEmpty()) {
			HttpMessages.reply(response, NOT_FOUND, Map.of("error", Map.of("code", "unknown_path", "message",
					"there is no such path", "step", "read_request", "peer", "caller", "not_run", true)));
			return;
		}
		handler.get().service(request, response);
	}

	private Optional<HttpHandler> find(String path) {
		HttpHandler found = this.exact.get(path);
		int end = path.length();
		while (found == null && end > 0) {
			end = path.lastIndexOf('/', end - 1);
			found = this.below.get(path.substring(0, Math.max(0, end)));
		}
		return Optional.ofNullable(found);
	}

}
