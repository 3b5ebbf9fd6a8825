package org.mulberrycross.engine;

import java.time.Duration;
import java.util.Objects;

/**
 * Finding that a request is likely to crash the engine that begins to answer it.
 * Immutable and thread-safe.
 *
 * @param part the id of the part of its prompt that is suspected, not null
 * @param crashCount the number of engines that were lost one after the other with it
 * @param untilTrial the time until one request with the part may be tried, zero if it is
 * due, not null
 */
public record CrashSuspicion(String part, int crashCount, Duration untilTrial) {

	/**
	 * Creates a suspicion.
	 * @param part the id of the suspected part, not null
	 * @param crashCount the number of losses
	 * @param untilTrial the time until a trial, not negative, not null
	 */
	public CrashSuspicion {
		Objects.requireNonNull(part, "part");
		Objects.requireNonNull(untilTrial, "untilTrial");
	}

	/**
	 * Returns whether one request with the part may be tried.
	 * @return true if the time for which requests with it are refused is over
	 */
	public boolean isTrialDue() {
		return this.untilTrial.isZero();
	}

}
