package org.mulberrycross.caller;

import org.mulberrycross.PeerException;

/**
 * Sends the generated tokens of one request to its caller. The answer ends with exactly
 * one call of {@link #complete} or {@link #fail}. Called by one thread at a time.
 */
public interface CallerAnswer {

	/**
	 * Sends the next token.
	 * @param index the index of the token in the answer, from 0
	 * @param text the text of the token, not null
	 * @throws PeerException if the connection to the caller is lost
	 */
	void sendToken(int index, String text) throws PeerException;

	/**
	 * Ends the answer after its last token.
	 * @throws PeerException if the connection to the caller is lost
	 */
	void complete() throws PeerException;

	/**
	 * Ends the answer with an error at any point. A lost connection is ignored.
	 * @param error the error to report to the caller, not null
	 */
	void fail(PeerException error);

}
