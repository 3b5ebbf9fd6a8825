package org.mulberrycross.standins.load;

/**
 * A request of the schedule. Immutable and thread-safe.
 *
 * @param number the number in the schedule, from 0
 * @param atNanos the time at which it is due, from the start of the run
 * @param pipeline the pipeline
 * @param team the team
 * @param prompt the prompt
 * @param maxTokens the number of tokens to ask for
 * @param longRequest whether it is one of the long requests
 */
public record PlannedRequest(int number, long atNanos, LoadMix.Pipeline pipeline, LoadMix.Team team, String prompt,
		int maxTokens, boolean longRequest) {

}
