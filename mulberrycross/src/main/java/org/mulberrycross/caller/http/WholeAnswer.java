package org.mulberrycross.caller.http;

import java.io.IOException;
import java.util.List;

import org.glassfish.grizzly.http.server.Response;

import org.mulberrycross.PeerException;
import org.mulberrycross.caller.CallerRequest;
import org.mulberrycross.http.HttpMessages;

/**
 * Answer as one JSON body, sent when the last token has come. Not thread-safe.
 */
final class WholeAnswer extends HttpAnswer {

	private static final int OK = 200;

	private final StringBuilder text = new StringBuilder();

	private int tokens;

	WholeAnswer(Response response, CallerRequest request) {
		super(response, request);
	}

	@Override
	public void token(int index, String tokenText) {
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
			HttpMessages.reply(response(), OK, body);
		}
		catch (IOException ex) {
			throw lost(ex);
		}
		finally {
			resume();
		}
	}

	@Override
	void failCommitted(PeerException error) {
		// The body is written in one piece, so there is nothing to end.
	}

	/**
	 * The whole answer.
	 *
	 * @param id the identifier of the request
	 * @param object the type of the body
	 * @param model the name of the pipeline
	 * @param choices the single choice
	 * @param usage the numbers of tokens
	 */
	record Completion(String id, String object, String model, List<Choice> choices, Usage usage) {

	}

	/**
	 * The generated message and why it ended.
	 *
	 * @param index always 0
	 * @param message the message
	 * @param finishReason the reason of the end
	 */
	record Choice(int index, Message message, String finishReason) {

	}

	/**
	 * The generated message.
	 *
	 * @param role the role of the author
	 * @param content the text
	 */
	record Message(String role, String content) {

	}

	/**
	 * Numbers of tokens.
	 *
	 * @param promptTokens the tokens of the prompt
	 * @param completionTokens the generated tokens
	 * @param totalTokens the sum
	 */
	record Usage(int promptTokens, int completionTokens, int totalTokens) {

	}

}
