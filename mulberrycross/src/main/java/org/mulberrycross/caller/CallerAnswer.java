package org.mulberrycross.caller;

import org.mulberrycross.PeerException;

/**
 * Passes the answer to one request on to its caller. Exactly one of {@link #complete} and
 * {@link #fail} ends it. Called by one thread at a time.
 */
public interface CallerAnswer {

	/**
	 * Passes on the next token.
	 * @param index the index of the token in the answer, from 0
	 * @param text the text of the token, not null
	 * @throws PeerException if the caller cannot be reached any more
	 */
	void token(int index, String text) throws PeerException;

	/**
	 * Ends the answer as whole.
	 * @throws PeerException if the caller cannot be reached any more
	 */
	void complete() throws PeerException;

	/**
	 * Ends the answer with an error.
	 * @param error the error, not null
	 */
	void fail(PeerException error);

}
