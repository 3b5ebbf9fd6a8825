package org.mulberrycross.http;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Dispatches each request to the handler for its path, and responds with 404 if there is
 * none. Replaces the mapper of Grizzly, which dispatches unknown paths to a handler with
 * which they share a prefix, such as {@code /v1/step} to that of {@code /v1/orders}.
 * Thread-safe.
 */
final class PathDispatcher extends HttpHandler {

	private static final String WILDCARD_SUFFIX = "/*";

	private static final int NOT_FOUND = 404;

	private final Map<String, HttpHandler> exactHandlers = new ConcurrentHashMap<>();

	/** Handlers by path prefix, without the slash at its end. */
	private final Map<String, HttpHandler> prefixHandlers = new ConcurrentHashMap<>();

	/**
	 * Registers a handler. The handler of an exact path takes precedence, then that of
	 * the longest prefix.
	 * @param path the path; a path that ends in {@code /*} matches all paths below it,
	 * and {@code /} matches every path that no other handler matches
	 * @param handler the handler, not null
	 */
	void add(String path, HttpHandler handler) {
		Objects.requireNonNull(handler, "handler");
		if (path.equals("/")) {
			this.prefixHandlers.put("", handler);
		}
		else if (path.endsWith(WILDCARD_SUFFIX)) {
			this.prefixHandlers.put(path.substring(0, path.length() - WILDCARD_SUFFIX.length()), handler);
		}
		else {
			this.exactHandlers.put(path, handler);
		}
	}

	@Override
	public void service(Request request, Response response) throws Exception {
		Optional<HttpHandler> handler = findHandler(request.getRequestURI());
		if (handler.isEmpty()) {
			HttpMessages.writeJson(response, NOT_FOUND, Map.of("error", Map.of("code", "unknown_path", "message",
					"there is no such path", "step", "read_request", "peer", "caller", "not_run", true)));
			return;
		}
		handler.get().service(request, response);
	}

	private Optional<HttpHandler> findHandler(String path) {
		HttpHandler handler = this.exactHandlers.get(path);
		int prefixEnd = path.length();
		while (handler == null && prefixEnd > 0) {
			prefixEnd = path.lastIndexOf('/', prefixEnd - 1);
			handler = this.prefixHandlers.get(path.substring(0, Math.max(0, prefixEnd)));
		}
		return Optional.ofNullable(handler);
	}

}
