package org.mulberrycross.http;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * A complete HTTP response. Immutable and thread-safe; the body array is shared and must
 * not be modified.
 *
 * @param status the HTTP status code
 * @param headers the headers by lower-case name, one value for each name, not null
 * @param body the body, empty if there is none
 */
public record HttpReply(int status, Map<String, String> headers, byte[] body) {

	private static final int FIRST_SUCCESS_STATUS = 200;

	private static final int FIRST_REDIRECT_STATUS = 300;

	/**
	 * Creates a reply. Copies the headers, but not the body.
	 * @param status the HTTP status code
	 * @param headers the headers by lower-case name, not null
	 * @param body the body, empty if there is none
	 */
	public HttpReply {
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns whether the status is a success (2xx).
	 * @return true for a success
	 */
	public boolean isSuccess() {
		return isSuccess(this.status);
	}

	/**
	 * Returns whether a status is a success (2xx).
	 * @param status the HTTP status code
	 * @return true for a success
	 */
	public static boolean isSuccess(int status) {
		return status >= FIRST_SUCCESS_STATUS && status < FIRST_REDIRECT_STATUS;
	}

	/**
	 * Returns the value of a header.
	 * @param name the name of the header, in any case
	 * @return the value, or empty if the header is absent
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name.toLowerCase(Locale.ROOT)));
	}

}
