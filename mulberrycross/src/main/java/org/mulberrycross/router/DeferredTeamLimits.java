package org.mulberrycross.router;

import java.util.Objects;
import java.util.function.Supplier;

import org.mulberrycross.caller.TeamLimits;

/**
 * Team limits that are looked up at each call, since {@code Admission} is created before
 * {@link SiblingExchanges}, which supplies them. As thread-safe as the limits.
 */
final class DeferredTeamLimits implements TeamLimits {

	private final Supplier<TeamLimits> limits;

	DeferredTeamLimits(Supplier<TeamLimits> limits) {
		this.limits = Objects.requireNonNull(limits, "limits");
	}

	@Override
	public int availableSlots(String team) {
		return this.limits.get().availableSlots(team);
	}

	@Override
	public boolean tryAcquire(String team, int running) {
		return this.limits.get().tryAcquire(team, running);
	}

	@Override
	public void release(String team) {
		this.limits.get().release(team);
	}

}
