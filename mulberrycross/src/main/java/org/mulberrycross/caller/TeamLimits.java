package org.mulberrycross.caller;

import java.util.Objects;
import java.util.function.ToIntFunction;

/**
 * Says whether a team may start one more request on this daemon. Called on the control
 * thread; implementations must not block.
 */
@FunctionalInterface
public interface TeamLimits {

	/**
	 * Returns whether a team may start one more request.
	 * @param team the name of the team, not null
	 * @param running the number of the team's requests that run on this daemon
	 * @return true if it may
	 */
	boolean mayStart(String team, int running);

	/**
	 * Returns limits that compare with the team's limit on this daemon alone.
	 * @param maxConcurrent gives the limit of a team, not null
	 * @return the limits
	 */
	static TeamLimits local(ToIntFunction<String> maxConcurrent) {
		Objects.requireNonNull(maxConcurrent, "maxConcurrent");
		return (team, running) -> running < maxConcurrent.applyAsInt(team);
	}

}
