package org.mulberrycross.router.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.OptionalLong;

import org.mulberrycross.http.HeaderField;
import org.mulberrycross.http.Headers;
import org.mulberrycross.http.ResponseHead;
import org.mulberrycross.http.ResponseWriter;

/**
 * A response that the router generates itself. Status 503 guarantees that the request was
 * not executed and will not be. Immutable and thread-safe.
 *
 * @param status the status code
 * @param retryAfter the value of the Retry-After header, zero to omit it, not null
 * @param reason the reason for the client and the log, not null
 */
record LocalResponse(int status, Duration retryAfter, String reason) {

	private static final double MILLIS_PER_SECOND = 1000;

	LocalResponse {
		Objects.requireNonNull(retryAfter, "retryAfter");
		Objects.requireNonNull(reason, "reason");
	}

	static LocalResponse notExecuted(Duration retryAfter, String reason) {
		return new LocalResponse(503, retryAfter, reason);
	}

	static LocalResponse of(int status, String reason) {
		return new LocalResponse(status, Duration.ZERO, reason);
	}

	void sendTo(ResponseWriter response) {
		// Clients may match the text of the reason, which is the only field of the body.
		byte[] body = ("{\"error\":\"" + this.reason.replace('"', '\'').replace('\\', '/') + "\"}")
			.getBytes(StandardCharsets.UTF_8);
		List<HeaderField> fields = new ArrayList<>();
		fields.add(new HeaderField("Content-Type", "application/json"));
		if (!this.retryAfter.isZero()) {
			fields.add(new HeaderField("Retry-After",
					String.format(Locale.ROOT, "%.3f", this.retryAfter.toMillis() / MILLIS_PER_SECOND)));
		}
		response.setHead(new ResponseHead(this.status, Headers.of(fields), OptionalLong.of(body.length)));
		response.write(body);
		response.end();
	}

}
