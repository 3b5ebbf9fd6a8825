package org.mulberrycross.caller;

import java.util.Objects;
import java.util.function.ToIntFunction;

/**
 * The teams' limits of requests that run at the same time over all daemons.
 * Implementations are called on the control thread only and do not block.
 */
public interface TeamLimits {

	/**
	 * Returns how many requests of a team may run on this daemon now.
	 * @param team the name of the team, not null
	 * @return the number, 0 or more
	 */
	int places(String team);

	/**
	 * Takes a place for a request of a team, if one is available to this daemon now.
	 * @param team the name of the team, not null
	 * @param running the number of the team's requests that run on this daemon
	 * @return whether the request may run; if not, it may be tried again later
	 */
	boolean tryAcquire(String team, int running);

	/**
	 * Gives back the place of a request that ended or did not start.
	 * @param team the name of the team, not null
	 */
	void release(String team);

	/**
	 * Returns limits that hold on this daemon alone.
	 * @param maxConcurrent gives the limit of a team, not null
	 * @return the limits
	 */
	static TeamLimits local(ToIntFunction<String> maxConcurrent) {
		Objects.requireNonNull(maxConcurrent, "maxConcurrent");
		return new TeamLimits() {

			@Override
			public int places(String team) {
				return maxConcurrent.applyAsInt(team);
			}

			@Override
			public boolean tryAcquire(String team, int running) {
				return running < places(team);
			}

			@Override
			public void release(String team) {
				// The number of running requests is counted by the admission.
			}

		};
	}

}
