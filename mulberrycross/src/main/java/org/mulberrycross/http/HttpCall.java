package org.mulberrycross.http;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.Step;

/**
 * An outbound HTTP request. Immutable and thread-safe; the body must not be changed.
 *
 * @param step the step that errors carry, not null
 * @param peer the peer that errors carry, not null
 * @param address where to send the request, not null
 * @param method the HTTP method, not null
 * @param path the path with its query, not null
 * @param headers the headers besides host and content length, not null
 * @param body the body, empty for none
 * @param timeout the bound on the whole exchange, positive
 * @param newConnection whether to open a connection for this request alone
 */
public record HttpCall(Step step, Peer peer, Address address, String method, String path, Map<String, String> headers,
		byte[] body, Duration timeout, boolean newConnection) {

	private static final byte[] NO_BODY = {};

	/**
	 * Creates a call.
	 * @param step the step that errors carry, not null
	 * @param peer the peer that errors carry, not null
	 * @param address where to send the request, not null
	 * @param method the HTTP method, not null
	 * @param path the path with its query, not null
	 * @param headers the headers besides host and content length, not null
	 * @param body the body, empty for none
	 * @param timeout the bound on the whole exchange, positive
	 * @param newConnection whether to open a connection for this request alone
	 */
	public HttpCall {
		Objects.requireNonNull(step, "step");
		Objects.requireNonNull(peer, "peer");
		Objects.requireNonNull(address, "address");
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(body, "body");
		if (timeout.isNegative() || timeout.isZero()) {
			throw new IllegalArgumentException("timeout " + timeout + " is not positive");
		}
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns a GET request over a pooled connection.
	 * @param step the step that errors carry
	 * @param peer the peer that errors carry
	 * @param address where to send the request
	 * @param path the path with its query
	 * @param timeout the bound on the whole exchange
	 * @return the call
	 */
	public static HttpCall get(Step step, Peer peer, Address address, String path, Duration timeout) {
		return new HttpCall(step, peer, address, "GET", path, Map.of(), NO_BODY, timeout, false);
	}

	/**
	 * Returns a POST request with a JSON body over a pooled connection.
	 * @param step the step that errors carry
	 * @param peer the peer that errors carry
	 * @param address where to send the request
	 * @param path the path with its query
	 * @param json the body
	 * @param timeout the bound on the whole exchange
	 * @return the call
	 */
	public static HttpCall post(Step step, Peer peer, Address address, String path, byte[] json, Duration timeout) {
		return new HttpCall(step, peer, address, "POST", path, Map.of("Content-Type", "application/json"), json,
				timeout, false);
	}

	/**
	 * Returns this call with one more header.
	 * @param name the name of the header
	 * @param value the value of the header
	 * @return the changed call
	 */
	public HttpCall withHeader(String name, String value) {
		Map<String, String> changed = new LinkedHashMap<>(this.headers);
		changed.put(name, value);
		return new HttpCall(this.step, this.peer, this.address, this.method, this.path, changed, this.body,
				this.timeout, this.newConnection);
	}

	/**
	 * Returns this call on a connection opened for it alone.
	 * @return the changed call
	 */
	public HttpCall onNewConnection() {
		return new HttpCall(this.step, this.peer, this.address, this.method, this.path, this.headers, this.body,
				this.timeout, true);
	}

}
