package org.mulberrycross.service.http;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.mulberrycross.Address;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.http.HttpCall;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.http.HttpReply;
import org.mulberrycross.operator.UpstreamObject;
import org.mulberrycross.service.CallOutcome;
import org.mulberrycross.service.ServiceCall;
import org.mulberrycross.service.ServiceClient;

/**
 * Sends calls to services over HTTP. A call that must not be repeated goes out on a
 * connection of its own after a GET of {@code /healthz} was answered on that connection,
 * so a frozen service or a silent connection is found before any byte of the call leaves.
 * Any status of that answer will do. Thread-safe.
 */
public final class HttpServiceClient implements ServiceClient {

	/** Header of a reply by which a service says that it did not run the call. */
	public static final String NOT_RUN_HEADER = "Not-Run";

	private static final String PROBE_PATH = "/healthz";

	private static final int FIRST_ERROR_STATUS = 400;

	private final HttpClient client;

	private final Duration probeTimeout;

	private final Duration timeout;

	/**
	 * Creates a client.
	 * @param client the HTTP client, not null; not closed by this class
	 * @param probeTimeout the bound on the probe of a new connection, positive
	 * @param timeout the bound on a call, positive
	 */
	public HttpServiceClient(HttpClient client, Duration probeTimeout, Duration timeout) {
		this.client = Objects.requireNonNull(client, "client");
		this.probeTimeout = Objects.requireNonNull(probeTimeout, "probeTimeout");
		this.timeout = Objects.requireNonNull(timeout, "timeout");
	}

	@Override
	public CallOutcome send(ServiceCall call, UpstreamObject upstream, boolean once) {
		Peer peer = new Peer(Peer.Kind.SERVICE, upstream.name());
		Address address = Address.parse(upstream.address());
		HttpCall request = new HttpCall(Step.CALL_SERVICE, peer, address, call.method(), call.target(), headers(call),
				call.body(), this.timeout, once);
		try {
			HttpReply reply = once ? this.client
				.sendProbed(HttpCall.get(Step.PROBE, peer, address, PROBE_PATH, this.probeTimeout), request)
					: this.client.send(request);
			return outcome(reply, peer);
		}
		catch (NotRunException ex) {
			return CallOutcome.notRun(ex.getMessage());
		}
		catch (PeerException ex) {
			return CallOutcome.unknown(ex.getMessage());
		}
	}

	private static CallOutcome outcome(HttpReply reply, Peer peer) {
		boolean refused = reply.status() >= FIRST_ERROR_STATUS
				&& reply.header(NOT_RUN_HEADER).filter("true"::equalsIgnoreCase).isPresent();
		if (refused) {
			return CallOutcome
				.notRun(peer + " answered with status " + reply.status() + " that it did not run the call");
		}
		return CallOutcome.completed(reply.status(), reply.header("Content-Type").orElse(""), reply.body());
	}

	private static Map<String, String> headers(ServiceCall call) {
		Map<String, String> headers = new HashMap<>();
		call.idempotencyKey().ifPresent((key) -> headers.put("Idempotency-Key", key));
		if (!call.contentType().isEmpty()) {
			headers.put("Content-Type", call.contentType());
		}
		return headers;
	}

}
