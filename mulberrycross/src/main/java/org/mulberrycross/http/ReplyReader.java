package org.mulberrycross.http;

import java.io.IOException;
import java.io.InputStream;

import org.mulberrycross.PeerException;

/**
 * Reads the body of a reply while it arrives, without keeping it. Called on the thread
 * that makes the call.
 *
 * @param <T> the type of the result
 */
@FunctionalInterface
public interface ReplyReader<T> {

	/**
	 * Reads the body. What it leaves is skipped.
	 * @param head the status and the headers, without the body, not null
	 * @param body the body, which blocks until more has arrived, not null
	 * @return the result
	 * @throws IncompleteReplyException if the body breaks off
	 * @throws IOException if the content is not valid
	 * @throws PeerException if the reply is not a success
	 */
	T read(HttpReply head, InputStream body) throws IOException, PeerException;

}
