package org.mulberrycross.engine;

import org.mulberrycross.PeerException;

/**
 * Runs streams over routes. Implementations are thread-safe and block the calling thread
 * until the stream ends.
 */
@FunctionalInterface
public interface RouteRunner {

	/**
	 * Runs a stream to its end.
	 * @param request the stream, not null
	 * @param route the route to start on, not null
	 * @param replacement chooses replacements for failed stages, not null
	 * @param sink receives the tokens, not null
	 * @throws org.mulberrycross.NotRunException if no layer ran, so that a retry is safe
	 * @throws PeerException if the stream could not be completed
	 */
	void run(StreamRequest request, Route route, StageReplacement replacement, TokenSink sink) throws PeerException;

}
