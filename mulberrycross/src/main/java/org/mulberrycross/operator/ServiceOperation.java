package org.mulberrycross.operator;

import java.util.Objects;

/**
 * An operation of a plain service. Immutable and thread-safe.
 *
 * @param method the HTTP method
 * @param path the path, which is matched exactly
 * @param idempotent whether the operation may be retried after an unknown outcome
 */
public record ServiceOperation(String method, String path, boolean idempotent) {

	/**
	 * Creates an operation.
	 * @param method the HTTP method; null means empty
	 * @param path the path; null means empty
	 * @param idempotent whether the operation may be retried after an unknown outcome
	 */
	public ServiceOperation {
		method = Objects.requireNonNullElse(method, "");
		path = Objects.requireNonNullElse(path, "");
	}

}
