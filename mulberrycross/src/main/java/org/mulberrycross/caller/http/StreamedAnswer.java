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
 * Answer as server-sent events, one per token. The last two events of a whole answer are
 * the finish reason and {@code [DONE]}; an answer without them is not whole. Not
 * thread-safe.
 */
final class StreamedAnswer extends HttpAnswer {

	private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

	private static final byte[] PREFIX = "data: ".getBytes(StandardCharsets.UTF_8);

	private static final byte[] SUFFIX = "\n\n".getBytes(StandardCharsets.UTF_8);

	StreamedAnswer(Response response, CallerRequest request) {
		super(response, request);
	}

	@Override
	public void token(int index, String text) throws PeerException {
		try {
			event(new Chunk(request().id(), "chat.completion.chunk", request().pipeline(),
					List.of(new Choice(0, new Delta(text), Optional.empty()))));
		}
		catch (IOException ex) {
			throw lost(ex);
		}
	}

	@Override
	public void complete() throws PeerException {
		try {
			event(new Chunk(request().id(), "chat.completion.chunk", request().pipeline(),
					List.of(new Choice(0, new Delta(""), Optional.of("length")))));
			response().getOutputStream().write(DONE);
			response().getOutputStream().flush();
		}
		catch (IOException ex) {
			throw lost(ex);
		}
		finally {
			resume();
		}
	}

	@Override
	void failCommitted(PeerException error) throws IOException {
		event(ErrorBody.of("failed", error));
	}

	private void event(Object value) throws IOException {
		if (!response().isCommitted()) {
			response().setContentType("text/event-stream");
			response().setHeader("Cache-Control", "no-cache");
		}
		response().getOutputStream().write(PREFIX);
		response().getOutputStream().write(Json.encode(value));
		response().getOutputStream().write(SUFFIX);
		response().getOutputStream().flush();
	}

	/**
	 * One event.
	 *
	 * @param id the identifier of the request
	 * @param object the type of the event
	 * @param model the name of the pipeline
	 * @param choices the single choice
	 */
	record Chunk(String id, String object, String model, List<Choice> choices) {

	}

	/**
	 * The change of the answer.
	 *
	 * @param index always 0
	 * @param delta the added text
	 * @param finishReason the reason of the end, empty before the end
	 */
	record Choice(int index, Delta delta, Optional<String> finishReason) {

	}

	/**
	 * Added text.
	 *
	 * @param content the text of the token
	 */
	record Delta(String content) {

	}

}
