package org.mulberrycross.caller;

import java.util.Objects;
import java.util.function.ToIntFunction;

/**
 * Limits on each team's concurrent requests over all daemons. Implementations are called
 * on the control thread only and do not block.
 */
public interface TeamLimits {

	/**
	 * Returns how many requests of a team may currently run on this daemon.
	 * @param team the name of the team, not null
	 * @return the number of slots, 0 or more
	 */
	int availableSlots(String team);

	/**
	 * Acquires a slot for a request of a team, if this daemon has one available.
	 * @param team the name of the team, not null
	 * @param running the number of the team's running requests on this daemon
	 * @return whether a slot was acquired; if not, the call may be retried later
	 */
	boolean tryAcquire(String team, int running);

	/**
	 * Releases the slot of a request that ended or could not start.
	 * @param team the name of the team, not null
	 */
	void release(String team);

	/**
	 * Returns limits that apply to this daemon alone.
	 * @param maxConcurrent returns the limit on concurrent requests of a team, not null
	 * @return the limits
	 */
	static TeamLimits local(ToIntFunction<String> maxConcurrent) {
		Objects.requireNonNull(maxConcurrent, "maxConcurrent");
		return new TeamLimits() {

			@Override
			public int availableSlots(String team) {
				return maxConcurrent.applyAsInt(team);
			}

			@Override
			public boolean tryAcquire(String team, int running) {
				return running < availableSlots(team);
			}

			@Override
			public void release(String team) {
				// Admission counts the running requests and passes them to tryAcquire.
			}

		};
	}

}
