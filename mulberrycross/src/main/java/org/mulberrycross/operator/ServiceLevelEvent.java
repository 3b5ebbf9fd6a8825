package org.mulberrycross.operator;

import java.util.Objects;

/**
 * Contribution of one request to the event counts of the service-level objectives.
 * Immutable and thread-safe.
 *
 * @param pipeline the name of the pipeline
 * @param team the name of the team
 * @param started whether at least one token was sent
 * @param firstTokenInTime whether the first token was sent in time; meaningful only if
 * {@code started}
 * @param tokensInTime the number of later tokens that were sent in time
 * @param tokensLate the number of later tokens that were sent late
 * @param succeeded whether the complete response was sent
 */
public record ServiceLevelEvent(String pipeline, String team, boolean started, boolean firstTokenInTime,
		int tokensInTime, int tokensLate, boolean succeeded) {

	/**
	 * Creates an event.
	 * @param pipeline the name of the pipeline, not null
	 * @param team the name of the team, not null
	 * @param started whether at least one token was sent
	 * @param firstTokenInTime whether the first token was sent in time
	 * @param tokensInTime the number of later tokens that were sent in time, 0 or more
	 * @param tokensLate the number of later tokens that were sent late, 0 or more
	 * @param succeeded whether the complete response was sent
	 */
	public ServiceLevelEvent {
		Objects.requireNonNull(pipeline, "pipeline");
		Objects.requireNonNull(team, "team");
	}

}
