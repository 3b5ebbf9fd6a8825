package org.mulberrycross.caller;

import java.util.Objects;
import java.util.function.ToIntFunction;

/**
 * Lookups that {@link Admission} depends on. Immutable; called on the control thread.
 *
 * @param weight returns the weight of a team, 1 or more
 * @param longTokens returns the estimated output length, in tokens, from which a request
 * to a pipeline counts as long work
 * @param teamLimits enforces the limits on concurrent requests of each team
 * @param capacity reserves upstream capacity
 */
public record AdmissionInputs(ToIntFunction<String> weight, ToIntFunction<String> longTokens, TeamLimits teamLimits,
		CapacityReservation capacity) {

	/**
	 * Creates inputs.
	 * @param weight returns the weight of a team, not null
	 * @param longTokens returns the threshold of long work by pipeline, not null
	 * @param teamLimits enforces the limits on concurrent requests, not null
	 * @param capacity reserves upstream capacity, not null
	 */
	public AdmissionInputs {
		Objects.requireNonNull(weight, "weight");
		Objects.requireNonNull(longTokens, "longTokens");
		Objects.requireNonNull(teamLimits, "teamLimits");
		Objects.requireNonNull(capacity, "capacity");
	}

}
