package org.mulberrycross.caller.http;

import java.util.List;
import java.util.Optional;

/**
 * JSON form of a chat completion request. Immutable and thread-safe.
 *
 * @param model the name of the pipeline; null if the caller left it out
 * @param messages the messages; null if the caller left them out
 * @param maxTokens the number of tokens to generate, empty for the default
 * @param stream whether to send the answer as it is generated, empty for no
 */
record ChatRequest(String model, List<Message> messages, Optional<Integer> maxTokens, Optional<Boolean> stream) {

	/**
	 * One message of the conversation.
	 *
	 * @param role the role of the author
	 * @param content the text
	 */
	record Message(String role, String content) {

	}

}
