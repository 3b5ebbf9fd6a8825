package org.mulberrycross.sibling.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

import org.mulberrycross.Address;
import org.mulberrycross.http.HeaderField;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayHandler;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.RelayServer;
import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.http.ResponseWriter;

/**
 * Serves the messages of other daemons, with one handler for each path. Handlers run on
 * the selector thread and must not block. Thread-safe.
 */
public final class SiblingServer implements AutoCloseable {

	/**
	 * Maximum size of the body of a message. The connection of a daemon that sends a
	 * longer one is closed.
	 */
	public static final int MAX_BODY_BYTES = 256 * 1024;

	/**
	 * Maximum size of the body of a request that is passed on for a caller; such requests
	 * are limited by the configuration as well.
	 */
	private static final int MAX_RELAYED_BODY_BYTES = 16 << 20;

	private static final Duration MESSAGE_TIMEOUT = Duration.ofSeconds(5);

	/** Longer than daemons keep idle connections, so that they close them first. */
	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

	private static final int STATUS_NOT_FOUND = 404;

	private final Map<String, RelayHandler> handlers = new ConcurrentHashMap<>();

	private final RelayServer server;

	private volatile Predicate<RelayRequest> isRelayed = (request) -> false;

	private volatile RelayHandler relayedHandler = (request, response) -> {
	};

	/**
	 * Creates a server that does not listen until {@link #start()} is called.
	 * @param address the address to listen on, not null
	 */
	public SiblingServer(Address address) {
		this.server = new RelayServer(Objects.requireNonNull(address, "address"), this::dispatch,
				MAX_RELAYED_BODY_BYTES);
	}

	/**
	 * Registers the handler of a path.
	 * @param path the path without a query, not null
	 * @param handler handles the requests, not null
	 * @throws IllegalArgumentException if the path has a handler
	 */
	public void register(String path, RelayHandler handler) {
		if (this.handlers.putIfAbsent(path, handler) != null) {
			throw new IllegalArgumentException("path " + path + " has a handler");
		}
	}

	/**
	 * Registers the handler of requests that siblings pass on for callers, whatever their
	 * path.
	 * @param condition whether a request is one of these, not null
	 * @param handler handles them, not null
	 */
	void registerRelayed(Predicate<RelayRequest> condition, RelayHandler handler) {
		this.relayedHandler = Objects.requireNonNull(handler, "handler");
		this.isRelayed = Objects.requireNonNull(condition, "condition");
	}

	/**
	 * Returns whether a request is being answered, or the end of a response is not sent
	 * yet.
	 * @return whether a sibling would lose a part of its response if this server were
	 * closed
	 */
	public boolean isAnswering() {
		return this.server.isAnswering();
	}

	/**
	 * Binds the address and starts to accept connections.
	 * @throws IOException if the address cannot be bound
	 */
	public void start() throws IOException {
		this.server.start();
	}

	private void dispatch(RelayRequest request, ResponseWriter response) {
		if (this.isRelayed.test(request)) {
			this.relayedHandler.handle(request, response);
			return;
		}
		if (request.body().length > MAX_BODY_BYTES) {
			response.abort();
			return;
		}
		RelayHandler handler = this.handlers.get(request.path());
		if (handler == null) {
			refuse(response, STATUS_NOT_FOUND, "no such path");
			return;
		}
		handler.handle(request, response);
	}

	/**
	 * Answers a request that is not processed.
	 * @param response the response, not null
	 * @param status the HTTP status
	 * @param reason the reason, sent as plain text; not null
	 */
	public static void refuse(ResponseWriter response, int status, String reason) {
		respond(response, status, "text/plain; charset=utf-8", reason.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Sends a complete response.
	 * @param response the response, not null
	 * @param status the HTTP status
	 * @param contentType the media type of the body, not null
	 * @param body the body, not null
	 */
	public static void respond(ResponseWriter response, int status, String contentType, byte[] body) {
		response.setHead(new ResponseHead(status, Headers.of(List.of(new HeaderField("Content-Type", contentType))),
				OptionalLong.of(body.length)));
		response.write(body);
		response.end();
	}

	/** Closes the connections of daemons that are gone or do not finish a message. */
	public void closeTimedOutConnections() {
		this.server.closeTimedOutConnections(MESSAGE_TIMEOUT, IDLE_TIMEOUT);
	}

	@Override
	public void close() {
		this.server.close();
	}

}
