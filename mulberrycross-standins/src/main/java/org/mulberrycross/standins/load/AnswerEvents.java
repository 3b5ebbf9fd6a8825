package org.mulberrycross.standins.load;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;

import org.mulberrycross.http.BodyListener;
import org.mulberrycross.http.Json;

/**
 * Reads a streamed answer and notes the time of each token. Filled on a selector thread
 * and read after the exchange has ended.
 */
final class AnswerEvents implements BodyListener {

	private static final String PREFIX = "data: ";

	private final StringBuilder pending = new StringBuilder();

	private final StringBuilder text = new StringBuilder();

	private final TokenTimes times;

	private boolean done;

	private boolean failed;

	AnswerEvents(TokenTimes times) {
		this.times = times;
	}

	String text() {
		return this.text.toString();
	}

	/**
	 * Returns whether the answer ended with its completion event and without an error.
	 * @return true if it is whole
	 */
	boolean isWhole() {
		return this.done && !this.failed;
	}

	@Override
	public void received(byte[] part) {
		this.pending.append(new String(part, StandardCharsets.UTF_8));
		int end;
		while ((end = this.pending.indexOf("\n\n")) >= 0) {
			String event = this.pending.substring(0, end);
			this.pending.delete(0, end + 2);
			if (event.startsWith(PREFIX)) {
				event(event.substring(PREFIX.length()));
			}
		}
	}

	private void event(String data) {
		if (data.equals("[DONE]")) {
			this.done = true;
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
				this.times.token(System.nanoTime());
			}
		}
		catch (IOException ex) {
			this.failed = true;
		}
	}

	/**
	 * Receives the time of each token.
	 */
	@FunctionalInterface
	interface TokenTimes {

		void token(long nanos);

	}

}
