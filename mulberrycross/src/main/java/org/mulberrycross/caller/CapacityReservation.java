package org.mulberrycross.caller;

/**
 * Reserves upstream capacity for a request that is about to start. Called on the control
 * thread; implementations must not block.
 */
@FunctionalInterface
public interface CapacityReservation {

	/**
	 * Reserves the capacity that a request needs. A successful reservation is always
	 * followed by a grant of the request.
	 * @param request the request, not null
	 * @param limitShare the share of each upstream's limit that may be in use: below 1 to
	 * keep the rest free for short work, above 1 to let short work exceed the limit
	 * @return false if there is no capacity, in which case nothing is reserved
	 */
	boolean reserve(CallerRequest request, double limitShare);

}
