package org.mulberrycross.standins.load;

/**
 * A request of a {@linkplain LoadSchedule schedule}. Immutable and thread-safe.
 *
 * @param index the index in the schedule, from 0
 * @param dueNanos the time at which the request is to be sent, from the start of the run
 * @param pipeline the pipeline that processes the request
 * @param team the team whose API key is used
 * @param prompt the prompt, sent as the only user message
 * @param maxTokens the number of tokens to request
 * @param longRequest whether it is one of the requests with a long answer
 */
public record PlannedRequest(int index, long dueNanos, LoadMix.Pipeline pipeline, LoadMix.Team team, String prompt,
		int maxTokens, boolean longRequest) {

}
