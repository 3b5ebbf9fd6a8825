package org.mulberrycross.http;

import java.util.Objects;

/**
 * A complete HTTP request to be relayed. Immutable and thread-safe; the body array is
 * shared and must not be modified.
 *
 * @param method the HTTP method, not null
 * @param target the request target, that is, the path and the query if there is one, as
 * received and without decoding, not null
 * @param headers the headers, not null
 * @param body the body, empty if there is none, not null
 */
public record RelayRequest(String method, String target, Headers headers, byte[] body) {

	/**
	 * Creates a request. The body is not copied.
	 * @param method the HTTP method, not null
	 * @param target the path and the query if there is one, not null
	 * @param headers the headers, not null
	 * @param body the body, empty if there is none, not null
	 */
	public RelayRequest {
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(target, "target");
		Objects.requireNonNull(headers, "headers");
		Objects.requireNonNull(body, "body");
	}

	/**
	 * Returns a copy of this request with different headers.
	 * @param newHeaders the headers that replace the current ones, not null
	 * @return the new request, which shares the body array
	 */
	public RelayRequest withHeaders(Headers newHeaders) {
		return new RelayRequest(this.method, this.target, newHeaders, this.body);
	}

	/**
	 * Returns the request target without the query.
	 * @return the path, not decoded
	 */
	public String path() {
		int queryStart = this.target.indexOf('?');
		return (queryStart < 0) ? this.target : this.target.substring(0, queryStart);
	}

}
