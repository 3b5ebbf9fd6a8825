package org.mulberrycross.caller;

/**
 * The teams' limits of requests that run at the same time over all daemons.
 * Implementations are called on the control thread only and do not block.
 */
public interface TeamLimits {

	/**
	 * Takes a place for a request of a team, if one is available to this daemon now.
	 * @param team the name of the team, not null
	 * @param maxConcurrent the limit of the team
	 * @return whether the request may run; if not, it may be tried again later
	 */
	boolean tryAcquire(String team, int maxConcurrent);

	/**
	 * Gives back the place of a request that ended.
	 * @param team the name of the team, not null
	 */
	void release(String team);

}
