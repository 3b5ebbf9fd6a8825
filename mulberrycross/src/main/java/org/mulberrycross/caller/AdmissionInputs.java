package org.mulberrycross.caller;

import java.util.Objects;
import java.util.function.ToIntFunction;

/**
 * What admission asks others for. Immutable; used on the control thread.
 *
 * @param weight gives the weight of a team, 1 or more
 * @param longTokens gives the output length from which work of a pipeline is long
 * @param teamLimits says whether a team may start one more request
 * @param capacity reserves upstream capacity
 */
public record AdmissionInputs(ToIntFunction<String> weight, ToIntFunction<String> longTokens, TeamLimits teamLimits,
		CapacityReservation capacity) {

	/**
	 * Creates inputs.
	 * @param weight gives the weight of a team, not null
	 * @param longTokens gives the output length from which work is long, not null
	 * @param teamLimits says whether a team may start one more request, not null
	 * @param capacity reserves upstream capacity, not null
	 */
	public AdmissionInputs {
		Objects.requireNonNull(weight, "weight");
		Objects.requireNonNull(longTokens, "longTokens");
		Objects.requireNonNull(teamLimits, "teamLimits");
		Objects.requireNonNull(capacity, "capacity");
	}

}
