package org.mulberrycross.caller;

/**
 * Reserves upstream capacity for a request that is about to be granted. Called on the
 * control thread; implementations must not block.
 */
@FunctionalInterface
public interface CapacityReservation {

	/**
	 * Reserves what a request needs to run. A reservation that succeeds is always
	 * followed by a grant of the request.
	 * @param request the request, not null
	 * @param limitShare the share of each upstream limit that may be in use, from 0 to 1;
	 * below 1 where the rest is kept free for short work
	 * @return false if there is no capacity, in which case nothing is reserved
	 */
	boolean reserve(CallerRequest request, double limitShare);

}
