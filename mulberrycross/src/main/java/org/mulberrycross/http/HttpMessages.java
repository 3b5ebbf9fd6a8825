package org.mulberrycross.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Objects;
import java.util.Optional;

import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Reads request bodies and writes JSON responses in handlers of an {@link HttpListener}.
 * All methods are thread-safe.
 */
public final class HttpMessages {

	private static final String JSON_TYPE = "application/json";

	private HttpMessages() {
	}

	/**
	 * Reads the body of a request up to a maximum length.
	 * @param request the request, not null
	 * @param maxBytes the maximum length of the body, in bytes
	 * @return the body, or empty if it is longer than {@code maxBytes}
	 * @throws IOException if the connection fails while the body is read
	 */
	public static Optional<byte[]> readBody(Request request, int maxBytes) throws IOException {
		Objects.requireNonNull(request, "request");
		if (request.getContentLengthLong() > maxBytes) {
			return Optional.empty();
		}
		InputStream stream = request.getInputStream();
		byte[] body = stream.readNBytes(maxBytes + 1);
		return (body.length > maxBytes) ? Optional.empty() : Optional.of(body);
	}

	/**
	 * Encodes a value as JSON and writes it as the response.
	 * @param response the response, not committed yet
	 * @param status the HTTP status code
	 * @param value the value to encode, not null
	 * @throws IOException if the connection fails
	 */
	public static void writeJson(Response response, int status, Object value) throws IOException {
		writeJson(response, status, Json.encode(value));
	}

	/**
	 * Writes JSON text as the response.
	 * @param response the response, not committed yet
	 * @param status the HTTP status code
	 * @param json the JSON text in UTF-8, not null
	 * @throws IOException if the connection fails
	 */
	public static void writeJson(Response response, int status, byte[] json) throws IOException {
		response.setStatus(status);
		response.setContentType(JSON_TYPE);
		response.setContentLength(json.length);
		response.getOutputStream().write(json);
		response.getOutputStream().flush();
	}

}
