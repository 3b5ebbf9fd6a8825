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
import org.mulberrycross.http.MessageHead;
import org.mulberrycross.http.ResponseWriter;

/**
 * An answer that the router gives itself. Status 503 promises that the request has not
 * run and never will. Immutable and thread-safe.
 *
 * @param status the status code
 * @param retryAfter when the client may come back, zero if that is not said, not null
 * @param reason the reason for the client and the log, not null
 */
record OwnAnswer(int status, Duration retryAfter, String reason) {

	private static final double MILLIS_PER_SECOND = 1000;

	OwnAnswer {
		Objects.requireNonNull(retryAfter, "retryAfter");
		Objects.requireNonNull(reason, "reason");
	}

	static OwnAnswer notRun(Duration retryAfter, String reason) {
		return new OwnAnswer(503, retryAfter, reason);
	}

	static OwnAnswer of(int status, String reason) {
		return new OwnAnswer(status, Duration.ZERO, reason);
	}

	void send(ResponseWriter response) {
		byte[] body = ("{\"error\":\"" + this.reason.replace('"', '\'').replace('\\', '/') + "\"}")
			.getBytes(StandardCharsets.UTF_8);
		List<HeaderField> fields = new ArrayList<>();
		fields.add(new HeaderField("Content-Type", "application/json"));
		if (!this.retryAfter.isZero()) {
			fields.add(new HeaderField("Retry-After",
					String.format(Locale.ROOT, "%.3f", this.retryAfter.toMillis() / MILLIS_PER_SECOND)));
		}
		response.start(new MessageHead(this.status, Headers.of(fields), OptionalLong.of(body.length)));
		response.write(body);
		response.end();
	}

}
