package org.mulberrycross.standins.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;

import org.mulberrycross.http.BodyListener;
import org.mulberrycross.http.Json;

/**
 * Parses the server-sent events of a streamed answer and reports the arrival time of each
 * token. Not thread-safe: a selector thread passes the body in, and the results are read
 * after the exchange has ended.
 */
final class StreamedAnswerReader implements BodyListener {

	private static final String DATA_PREFIX = "data: ";

	private final StringBuilder buffer = new StringBuilder();

	private final StringBuilder text = new StringBuilder();

	private final TokenListener tokenListener;

	private boolean doneReceived;

	private boolean failed;

	StreamedAnswerReader(TokenListener tokenListener) {
		this.tokenListener = tokenListener;
	}

	String text() {
		return this.text.toString();
	}

	/**
	 * Returns whether the answer ended with its {@code [DONE]} event and contained
	 * neither an error event nor an event that cannot be parsed.
	 * @return true if the answer is complete
	 */
	boolean isComplete() {
		return this.doneReceived && !this.failed;
	}

	@Override
	public void onData(byte[] part) {
		this.buffer.append(new String(part, StandardCharsets.UTF_8));
		int end;
		while ((end = this.buffer.indexOf("\n\n")) >= 0) {
			String event = this.buffer.substring(0, end);
			this.buffer.delete(0, end + 2);
			if (event.startsWith(DATA_PREFIX)) {
				handleEvent(event.substring(DATA_PREFIX.length()));
			}
		}
	}

	private void handleEvent(String data) {
		if (data.equals("[DONE]")) {
			this.doneReceived = true;
			return;
		}
		try {
			JsonNode json = Json.mapper().readTree(data);
			if (json.has("error")) {
				this.failed = true;
				return;
			}
			String content = json.at("/choices/0/delta/content").asText();
			if (!content.isEmpty()) {
				this.text.append(content);
				this.tokenListener.onToken(System.nanoTime());
			}
		}
		catch (IOException ex) {
			this.failed = true;
		}
	}

	/**
	 * Receives the arrival time of each token, as returned by {@link System#nanoTime()}.
	 */
	@FunctionalInterface
	interface TokenListener {

		void onToken(long nanos);

	}

}
