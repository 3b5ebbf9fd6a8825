package org.mulberrycross.http;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * The head of a response: status, headers and content length. Immutable and thread-safe.
 *
 * @param status the HTTP status code
 * @param headers the headers, not null
 * @param contentLength the content length in bytes, or empty if the length is not known
 * when the head is sent, not null
 */
public record ResponseHead(int status, Headers headers, OptionalLong contentLength) {

	private static final int NO_CONTENT = 204;

	private static final int RESET_CONTENT = 205;

	private static final int NOT_MODIFIED = 304;

	/**
	 * Creates a response head.
	 * @param status the HTTP status code, not validated
	 * @param headers the headers, not null
	 * @param contentLength the content length in bytes, or empty if it is not known, not
	 * null
	 */
	public ResponseHead {
		Objects.requireNonNull(headers, "headers");
		Objects.requireNonNull(contentLength, "contentLength");
	}

	/**
	 * Returns whether the status is a success (2xx).
	 * @return whether the status is in the range 200 to 299
	 */
	public boolean isSuccess() {
		return this.status / 100 == 2;
	}

	/**
	 * Returns how the response marks the end of its body, as its head says it. A status
	 * that never has a body counts as a length; the method of the request is not known
	 * here.
	 * @return the framing, not null
	 */
	public BodyFraming framing() {
		boolean withoutBody = this.status == NO_CONTENT || this.status == RESET_CONTENT || this.status == NOT_MODIFIED;
		if (this.contentLength.isPresent() || withoutBody) {
			return BodyFraming.LENGTH;
		}
		return this.headers.firstValue("Transfer-Encoding").isPresent() ? BodyFraming.CHUNKED : BodyFraming.CLOSE;
	}

}
