package org.mulberrycross.router.relay;

/**
 * Settings of how requests wait for upstreams and are ranked. Immutable and thread-safe.
 *
 * @param queue whether requests that no upstream has room for wait by rank and team; if
 * false, they are sent to the least loaded upstream at once
 * @param forwardPriority whether upstreams are told the rank of each request
 * @param spreadReturns whether refused clients are told times to return that follow one
 * another as room comes free; if false, all are told the same time
 * @param balanceBySlots whether instances of plain services are chosen by the expected
 * work of all daemons for each slot; if false, by the requests of this daemon alone
 * @param maxWaiting the maximum number of waiting requests if {@code queue} is set, at
 * least 1
 */
public record WaitingSettings(boolean queue, boolean forwardPriority, boolean spreadReturns, boolean balanceBySlots,
		int maxWaiting) {

	/** The default for the maximum number of waiting requests. */
	static final int DEFAULT_MAX_WAITING = 512;

	/** No request waits for room, and upstreams are told no rank. */
	public static final WaitingSettings OFF = new WaitingSettings(false, false, false, false, DEFAULT_MAX_WAITING);

	/**
	 * Creates settings.
	 * @param queue whether requests wait for room by rank and team
	 * @param forwardPriority whether upstreams are told the rank of each request
	 * @param spreadReturns whether refused clients return one after the other
	 * @param balanceBySlots whether instances are chosen by the work for each slot
	 * @param maxWaiting the maximum number of waiting requests
	 */
	public WaitingSettings {
		if (maxWaiting < 1) {
			throw new IllegalArgumentException("maxWaiting " + maxWaiting + " is below 1");
		}
	}

}
