package org.mulberrycross.caller.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.PeerException;
import org.mulberrycross.caller.CallerRequest;
import org.mulberrycross.http.Json;

/**
 * Sends an answer as server-sent events, one per token. A complete answer ends with an
 * event with the finish reason and the event {@code [DONE]}; an answer without them is
 * incomplete. Not thread-safe.
 */
final class StreamedAnswer extends HttpAnswer {

	private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

	private static final byte[] EVENT_PREFIX = "data: ".getBytes(StandardCharsets.UTF_8);

	private static final byte[] EVENT_SUFFIX = "\n\n".getBytes(StandardCharsets.UTF_8);

	StreamedAnswer(Response response, CallerRequest request) {
		super(response, request);
	}

	@Override
	public void sendToken(int index, String text) throws PeerException {
		try {
			writeEvent(new Chunk(request().id(), "chat.completion.chunk", request().pipeline(),
					List.of(new Choice(0, new Delta(text), Optional.empty()))));
		}
		catch (IOException ex) {
			throw connectionFailure(ex);
		}
	}

	@Override
	public void complete() throws PeerException {
		try {
			writeEvent(new Chunk(request().id(), "chat.completion.chunk", request().pipeline(),
					List.of(new Choice(0, new Delta(""), Optional.of("length")))));
			response().getOutputStream().write(DONE_EVENT);
			response().getOutputStream().flush();
		}
		catch (IOException ex) {
			throw connectionFailure(ex);
		}
		finally {
			resume();
		}
	}

	@Override
	void failCommitted(PeerException error) throws IOException {
		writeEvent(ErrorBody.of("failed", error));
	}

	private void writeEvent(Object data) throws IOException {
		if (!response().isCommitted()) {
			response().setContentType("text/event-stream");
			response().setHeader("Cache-Control", "no-cache");
		}
		response().getOutputStream().write(EVENT_PREFIX);
		response().getOutputStream().write(Json.encode(data));
		response().getOutputStream().write(EVENT_SUFFIX);
		response().getOutputStream().flush();
	}

	/**
	 * JSON data of one event.
	 *
	 * @param id the identifier of the request
	 * @param object the object type, always {@code chat.completion.chunk}
	 * @param model the name of the pipeline
	 * @param choices a list of exactly one choice
	 */
	record Chunk(String id, String object, String model, List<Choice> choices) {

	}

	/**
	 * Text to append to the answer, or the end of the answer.
	 *
	 * @param index the index in the list of choices, always 0
	 * @param delta the text to append
	 * @param finishReason the reason why generation ended, empty before the end
	 */
	record Choice(int index, Delta delta, Optional<String> finishReason) {

	}

	/**
	 * Text to append to the answer.
	 *
	 * @param content the text of the token, an empty string at the end
	 */
	record Delta(String content) {

	}

}
