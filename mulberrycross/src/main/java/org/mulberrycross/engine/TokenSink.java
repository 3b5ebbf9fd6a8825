package org.mulberrycross.engine;

import org.mulberrycross.PeerException;

/**
 * Receives the generated tokens of one stream in order. Called by the thread that runs
 * the stream.
 */
@FunctionalInterface
public interface TokenSink {

	/**
	 * Receives the next token.
	 * @param index the index of the token in the generated text, from 0
	 * @param text the text of the token, not null
	 * @throws PeerException if the token cannot be passed on, which ends the stream
	 */
	void acceptToken(int index, String text) throws PeerException;

}
