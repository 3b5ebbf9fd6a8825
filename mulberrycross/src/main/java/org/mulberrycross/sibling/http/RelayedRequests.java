package org.mulberrycross.sibling.http;

import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.mulberrycross.http.Headers;
import org.mulberrycross.http.RelayRequest;
import org.mulberrycross.http.ResponseWriter;

/**
 * Requests of callers that a daemon without a way to the upstreams passes on to a
 * sibling: the request as the caller sent it, with a header that names the daemon. A
 * daemon never passes on a request that it has from a sibling. Thread-safe.
 */
public final class RelayedRequests {

	/** Path at which a daemon tells whether it takes requests of others. */
	static final String REACH_PATH = "/v1/sibling/reach";

	/**
	 * Status with which a daemon rejects a relayed request, which has not run, because it
	 * does not serve it while others may.
	 */
	public static final int STATUS_MISDIRECTED = 421;

	private static final String RELAYING_DAEMON = "Relaying-Daemon";

	private static final int STATUS_OK = 200;

	private static final int STATUS_UNAVAILABLE = 503;

	private RelayedRequests() {
	}

	/**
	 * Returns the request to send to a sibling.
	 * @param request the request of the caller, not null
	 * @param daemon the name of this daemon, not null
	 * @return the request with the name of this daemon
	 */
	public static RelayRequest encode(RelayRequest request, String daemon) {
		return request.withHeaders(request.headers().without(Set.of(lowerCaseHeader())).with(RELAYING_DAEMON, daemon));
	}

	/**
	 * Registers the handlers of relayed requests and of the question whether this daemon
	 * takes any.
	 * @param server the server, not null
	 * @param serving whether this daemon reaches the upstreams and takes requests, not
	 * null
	 * @param receiver handles the requests, not null
	 */
	public static void register(SiblingServer server, BooleanSupplier serving, Receiver receiver) {
		Objects.requireNonNull(receiver, "receiver");
		server.register(REACH_PATH, (request, response) -> SiblingServer.refuse(response,
				serving.getAsBoolean() ? STATUS_OK : STATUS_UNAVAILABLE, serving.getAsBoolean() ? "yes" : "no"));
		server.registerRelayed((request) -> daemon(request).isPresent(),
				(request, response) -> receiver.receive(
						request.withHeaders(request.headers().without(Set.of(lowerCaseHeader()))),
						daemon(request).orElse(""), response));
	}

	private static Optional<String> daemon(RelayRequest request) {
		Headers headers = request.headers();
		return headers.firstValue(RELAYING_DAEMON);
	}

	private static String lowerCaseHeader() {
		return RELAYING_DAEMON.toLowerCase(Locale.ROOT);
	}

	/** Handles requests that siblings pass on. Called on a selector thread. */
	@FunctionalInterface
	public interface Receiver {

		/**
		 * Handles a request. Must not block.
		 * @param request the request as the caller sent it, not null
		 * @param daemon the name of the daemon that passes it on, not null
		 * @param response writes the response, not null
		 */
		void receive(RelayRequest request, String daemon, ResponseWriter response);

	}

}
