package org.mulberrycross.http;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.mulberrycross.Address;
import org.mulberrycross.Peer;
import org.mulberrycross.Step;

/**
 * An outbound HTTP request. Immutable and thread-safe; the body array is shared and must
 * not be modified.
 *
 * @param step the step reported in exceptions, not null
 * @param peer the peer reported in exceptions, not null
 * @param address the address of the server, not null
 * @param method the HTTP method, not null
 * @param path the path and the query if there is one, not null
 * @param headers the headers except Host and Content-Length, not null
 * @param body the body, empty if there is none
 * @param timeout the maximum time until the response is complete, positive
 * @param newConnection whether to open a new connection instead of using a pooled one
 * @param maxReplyBytes the maximum size of the body of the reply, which is kept in memory
 */
public record HttpCall(Step step, Peer peer, Address address, String method, String path, Map<String, String> headers,
		byte[] body, Duration timeout, boolean newConnection, int maxReplyBytes) {

	/**
	 * Default maximum size of a reply. A page or the changes of a watch have at most some
	 * megabytes.
	 */
	static final int DEFAULT_MAX_REPLY_BYTES = 16 << 20;

	private static final byte[] NO_BODY = {};

	/**
	 * Creates a call. Copies the headers, but not the body.
	 * @param step the step reported in exceptions, not null
	 * @param peer the peer reported in exceptions, not null
	 * @param address the address of the server, not null
	 * @param method the HTTP method, not null
	 * @param path the path and the query if there is one, not null
	 * @param headers the headers except Host and Content-Length, not null
	 * @param body the body, empty if there is none
	 * @param timeout the maximum time until the response is complete, positive
	 * @param newConnection whether to open a new connection instead of using a pooled one
	 * @param maxReplyBytes the maximum size of the body of the reply
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
	 * Creates a call with the default limit on its reply. Copies the headers, but not the
	 * body.
	 * @param step the step reported in exceptions, not null
	 * @param peer the peer reported in exceptions, not null
	 * @param address the address of the server, not null
	 * @param method the HTTP method, not null
	 * @param path the path and the query if there is one, not null
	 * @param headers the headers except Host and Content-Length, not null
	 * @param body the body, empty if there is none
	 * @param timeout the maximum time until the response is complete, positive
	 * @param newConnection whether to open a new connection instead of using a pooled one
	 */
	public HttpCall(Step step, Peer peer, Address address, String method, String path, Map<String, String> headers,
			byte[] body, Duration timeout, boolean newConnection) {
		this(step, peer, address, method, path, headers, body, timeout, newConnection, DEFAULT_MAX_REPLY_BYTES);
	}

	/**
	 * Creates a GET request without headers that uses a pooled connection.
	 * @param step the step reported in exceptions
	 * @param peer the peer reported in exceptions
	 * @param address the address of the server
	 * @param path the path and the query if there is one
	 * @param timeout the maximum time until the response is complete
	 * @return the call
	 */
	public static HttpCall get(Step step, Peer peer, Address address, String path, Duration timeout) {
		return new HttpCall(step, peer, address, "GET", path, Map.of(), NO_BODY, timeout, false);
	}

	/**
	 * Creates a POST request with a JSON body that uses a pooled connection.
	 * @param step the step reported in exceptions
	 * @param peer the peer reported in exceptions
	 * @param address the address of the server
	 * @param path the path and the query if there is one
	 * @param json the body, JSON text in UTF-8
	 * @param timeout the maximum time until the response is complete
	 * @return the call
	 */
	public static HttpCall post(Step step, Peer peer, Address address, String path, byte[] json, Duration timeout) {
		return new HttpCall(step, peer, address, "POST", path, Map.of("Content-Type", "application/json"), json,
				timeout, false);
	}

	/**
	 * Returns a copy of this call with an additional header.
	 * @param name the name of the header; replaces a header of the same name and case
	 * @param value the value of the header
	 * @return the new call
	 */
	public HttpCall withHeader(String name, String value) {
		Map<String, String> newHeaders = new LinkedHashMap<>(this.headers);
		newHeaders.put(name, value);
		return new HttpCall(this.step, this.peer, this.address, this.method, this.path, newHeaders, this.body,
				this.timeout, this.newConnection, this.maxReplyBytes);
	}

	/**
	 * Returns a copy of this call that uses a new connection instead of a pooled one.
	 * @return the new call
	 */
	public HttpCall withNewConnection() {
		return new HttpCall(this.step, this.peer, this.address, this.method, this.path, this.headers, this.body,
				this.timeout, true, this.maxReplyBytes);
	}

	/**
	 * Returns a copy of this call with another limit on its reply.
	 * @param bytes the maximum size of the body of the reply
	 * @return the new call
	 */
	public HttpCall withMaxReplyBytes(int bytes) {
		return new HttpCall(this.step, this.peer, this.address, this.method, this.path, this.headers, this.body,
				this.timeout, this.newConnection, bytes);
	}

}
