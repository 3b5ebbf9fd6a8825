package org.mulberrycross.service;

import java.util.Objects;
import java.util.Optional;

/**
 * A call to a plain service. Immutable and thread-safe; the body must not be changed.
 *
 * @param team the name of the caller's team, not null
 * @param service the name of the service, not null
 * @param method the HTTP method, not null
 * @param path the path on the service, without the query, not null
 * @param query the query without the question mark, empty for none
 * @param contentType the media type of the body, empty for none
 * @param body the body, empty for none
 * @param idempotencyKey the caller's idempotency key, empty if it sent none
 */
public record ServiceCall(String team, String service, String method, String path, String query, String contentType,
		byte[] body, Optional<String> idempotencyKey) {

	/**
	 * Creates a call.
	 * @param team the name of the caller's team, not null
	 * @param service the name of the service, not null
	 * @param method the HTTP method, not null
	 * @param path the path on the service, without the query, not null
	 * @param query the query without the question mark, empty for none
	 * @param contentType the media type of the body, empty for none
	 * @param body the body, empty for none
	 * @param idempotencyKey the caller's idempotency key, empty if it sent none
	 */
	public ServiceCall {
		Objects.requireNonNull(team, "team");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(query, "query");
		Objects.requireNonNull(contentType, "contentType");
		Objects.requireNonNull(body, "body");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey");
	}

	/**
	 * Returns the path and query.
	 * @return the target of the HTTP request to the service
	 */
	public String target() {
		return this.query.isEmpty() ? this.path : this.path + "?" + this.query;
	}

}
