package org.mulberrycross.caller.http;

import java.io.IOException;
import java.util.List;

import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.PeerException;
import org.mulberrycross.caller.CallerRequest;
import org.mulberrycross.http.HttpMessages;

/**
 * Collects the tokens of an answer and sends them as one JSON body when the answer is
 * complete. Not thread-safe.
 */
final class BufferedAnswer extends HttpAnswer {

	private static final int OK = 200;

	private final StringBuilder text = new StringBuilder();

	private int tokens;

	BufferedAnswer(Response response, CallerRequest request) {
		super(response, request);
	}

	@Override
	public void sendToken(int index, String tokenText) {
		this.text.append(tokenText);
		this.tokens++;
	}

	@Override
	public void complete() throws PeerException {
		int promptTokens = request().promptTokens().length;
		Completion body = new Completion(request().id(), "chat.completion", request().pipeline(),
				List.of(new Choice(0, new Message("assistant", this.text.toString()), "length")),
				new Usage(promptTokens, this.tokens, promptTokens + this.tokens));
		try {
			HttpMessages.writeJson(response(), OK, body);
		}
		catch (IOException ex) {
			throw connectionFailure(ex);
		}
		finally {
			resume();
		}
	}

	@Override
	void failCommitted(PeerException error) {
		// The body is written in a single call, so there is no partial body to end.
	}

	/**
	 * JSON body of a completion.
	 *
	 * @param id the identifier of the request
	 * @param object the object type, always {@code chat.completion}
	 * @param model the name of the pipeline
	 * @param choices a list of exactly one choice
	 * @param usage the token counts
	 */
	record Completion(String id, String object, String model, List<Choice> choices, Usage usage) {

	}

	/**
	 * The generated message and its finish reason.
	 *
	 * @param index the index in the list of choices, always 0
	 * @param message the generated message
	 * @param finishReason the reason why generation ended
	 */
	record Choice(int index, Message message, String finishReason) {

	}

	/**
	 * A generated message.
	 *
	 * @param role the role of the author
	 * @param content the generated text
	 */
	record Message(String role, String content) {

	}

	/**
	 * Token counts of a request.
	 *
	 * @param promptTokens the number of tokens in the prompt
	 * @param completionTokens the number of generated tokens
	 * @param totalTokens the sum of both
	 */
	record Usage(int promptTokens, int completionTokens, int totalTokens) {

	}

}
