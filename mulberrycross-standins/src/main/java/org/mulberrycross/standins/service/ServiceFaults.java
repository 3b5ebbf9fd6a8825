package org.mulberrycross.standins.service;

/**
 * Faults that a service stand-in injects. The numbers are shares of the bookings in per
 * cent, which add up to at most 100. Immutable and thread-safe.
 *
 * @param loseReply bookings that are executed, but whose connection is closed without a
 * reply
 * @param closeBefore bookings whose connection is closed before they are executed
 * @param refuse bookings that the service refuses with a reply that states that they were
 * not executed
 * @param silent bookings that are not executed and get no reply, on a connection that
 * stays open
 * @param frozen whether all requests except those to {@code /control/} are left without a
 * reply, including probes
 */
public record ServiceFaults(int loseReply, int closeBefore, int refuse, int silent, boolean frozen) {

	/** Settings without any fault. */
	public static final ServiceFaults NONE = new ServiceFaults(0, 0, 0, 0, false);

}
