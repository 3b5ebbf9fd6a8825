package org.mulberrycross.caller.http;

import java.util.List;
import java.util.Optional;

/**
 * JSON body of a chat completion request. Immutable and thread-safe.
 *
 * @param model the name of the pipeline, null if absent
 * @param messages the messages of the conversation, null if absent
 * @param maxTokens the maximum number of tokens to generate, empty for the default
 * @param stream whether to send tokens as they are generated, empty for no
 */
record ChatRequest(String model, List<Message> messages, Optional<Integer> maxTokens, Optional<Boolean> stream) {

	/**
	 * One message of the conversation.
	 *
	 * @param role the role of the author, which is ignored
	 * @param content the text, null if absent
	 */
	record Message(String role, String content) {

	}

}
