package org.mulberrycross.http;

import java.util.Objects;

/**
 * A whole HTTP request that is relayed. Immutable and thread-safe; the body must not be
 * changed.
 *
 * @param method the method, not null
 * @param target the path with its query, not null
 * @param headers the fields, not null
 * @param body the body, empty for none, not null
 */
public record RelayRequest(String method, String target, Headers headers, byte[] body) {

	/**
	 * Creates a request.
	 * @param method the method, not null
	 * @param target the path with its query, not null
	 * @param headers the fields, not null
	 * @param body the body, not null
	 */
	public RelayRequest {
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(target, "target");
		Objects.requireNonNull(headers, "headers");
		Objects.requireNonNull(body, "body");
	}

	/**
	 * Returns this request with other fields.
	 * @param changed the fields, not null
	 * @return the changed request
	 */
	public RelayRequest withHeaders(Headers changed) {
		return new RelayRequest(this.method, this.target, changed, this.body);
	}

	/**
	 * Returns the path without the query.
	 * @return the path
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

}
