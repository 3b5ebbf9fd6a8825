package org.mulberrycross.standins.service;

/**
 * Faults that a service stand-in shows, in per cent of the requests. Immutable and
 * thread-safe.
 *
 * @param loseReply the call runs and the connection closes without a reply
 * @param closeBefore the connection closes before the call runs
 * @param refuse the service answers that it did not run the call
 * @param silent the connection stays open and nothing more is sent on it; the call does
 * not run
 * @param frozen whether no request at all gets an answer, probes included
 */
public record ServiceFaults(int loseReply, int closeBefore, int refuse, int silent, boolean frozen) {

	/** No faults. */
	public static final ServiceFaults NONE = new ServiceFaults(0, 0, 0, 0, false);

}
