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
 * Thread-safe client that calls services over HTTP. A call that must not be repeated is
 * sent on a new connection, after a GET of {@code /healthz} on another one got a response
 * of any status. A service that does not respond is thus detected before any byte of the
 * call is sent, and no earlier response can be taken for that to the call.
 */
public final class HttpServiceClient implements ServiceClient {

	/**
	 * Response header, true on an error status if the service did not run the call.
	 */
	public static final String NOT_RUN_HEADER = "Not-Run";

	private static final String PROBE_PATH = "/healthz";

	private static final int MIN_ERROR_STATUS = 400;

	private final HttpClient client;

	private final Duration probeTimeout;

	private final Duration callTimeout;

	/**
	 * Creates a client.
	 * @param client the HTTP client, not null; not closed by this class
	 * @param probeTimeout the timeout of the probe of a new connection, positive
	 * @param callTimeout the timeout of a call, positive
	 */
	public HttpServiceClient(HttpClient client, Duration probeTimeout, Duration callTimeout) {
		this.client = Objects.requireNonNull(client, "client");
		this.probeTimeout = Objects.requireNonNull(probeTimeout, "probeTimeout");
		this.callTimeout = Objects.requireNonNull(callTimeout, "callTimeout");
	}

	@Override
	public CallOutcome send(ServiceCall call, UpstreamObject upstream, boolean atMostOnce) {
		Peer peer = new Peer(Peer.Kind.SERVICE, upstream.name());
		Address address = Address.parse(upstream.address());
		HttpCall request = new HttpCall(Step.CALL_SERVICE, peer, address, call.method(), call.target(),
				requestHeaders(call), call.body(), this.callTimeout, atMostOnce);
		try {
			HttpReply reply = atMostOnce ? this.client
				.sendAfterProbe(HttpCall.get(Step.PROBE, peer, address, PROBE_PATH, this.probeTimeout), request)
					: this.client.send(request);
			return toOutcome(reply, peer);
		}
		catch (NotRunException ex) {
			return CallOutcome.notRun(ex.getMessage());
		}
		catch (PeerException ex) {
			return CallOutcome.unknown(ex.getMessage());
		}
	}

	private static CallOutcome toOutcome(HttpReply reply, Peer peer) {
		boolean notRun = reply.status() >= MIN_ERROR_STATUS
				&& reply.header(NOT_RUN_HEADER).filter("true"::equalsIgnoreCase).isPresent();
		if (notRun) {
			return CallOutcome
				.notRun(peer + " returned status " + reply.status() + " and reported that it did not run the call");
		}
		return CallOutcome.completed(reply.status(), reply.header("Content-Type").orElse(""), reply.body());
	}

	private static Map<String, String> requestHeaders(ServiceCall call) {
		Map<String, String> headers = new HashMap<>();
		call.idempotencyKey().ifPresent((key) -> headers.put("Idempotency-Key", key));
		if (!call.contentType().isEmpty()) {
			headers.put("Content-Type", call.contentType());
		}
		return headers;
	}

}
