package org.mulberrycross.engine;

import org.mulberrycross.PeerException;

/**
 * Runs a stream over a route. Implementations are thread-safe and block until the stream
 * ends.
 */
@FunctionalInterface
public interface RouteRunner {

	/**
	 * Runs a stream to its end.
	 * @param request the stream, not null
	 * @param route the route to start on, not null
	 * @param replacement finds stages for those that are lost, not null
	 * @param sink receives the tokens, not null
	 * @throws org.mulberrycross.NotRunException if no layer ran
	 * @throws PeerException if the stream could not be finished
	 */
	void run(StreamRequest request, Route route, StageReplacement replacement, TokenSink sink) throws PeerException;

}
