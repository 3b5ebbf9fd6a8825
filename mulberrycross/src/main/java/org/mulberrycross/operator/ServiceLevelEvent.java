package org.mulberrycross.operator;

import java.util.Objects;

/**
 * What one request contributes to the objectives. Immutable and thread-safe.
 *
 * @param pipeline the name of the pipeline
 * @param team the name of the team
 * @param started whether a token was sent
 * @param firstTokenInTime whether the first token came in time; without meaning unless
 * started
 * @param tokensInTime the number of later tokens that came in time
 * @param tokensLate the number of later tokens that came late
 * @param succeeded whether the whole answer was sent
 */
public record ServiceLevelEvent(String pipeline, String team, boolean started, boolean firstTokenInTime,
		int tokensInTime, int tokensLate, boolean succeeded) {

	/**
	 * Creates an event.
	 * @param pipeline the name of the pipeline, not null
	 * @param team the name of the team, not null
	 * @param started whether a token was sent
	 * @param firstTokenInTime whether the first token came in time
	 * @param tokensInTime the number of later tokens that came in time, 0 or more
	 * @param tokensLate the number of later tokens that came late, 0 or more
	 * @param succeeded whether the whole answer was sent
	 */
	public ServiceLevelEvent {
		Objects.requireNonNull(pipeline, "pipeline");
		Objects.requireNonNull(team, "team");
	}

}
