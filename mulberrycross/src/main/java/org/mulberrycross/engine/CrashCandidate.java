package org.mulberrycross.engine;

import java.util.Map;

/**
 * A request that an engine had not begun to answer when it was lost. Immutable and
 * thread-safe.
 *
 * @param crashNumbers for each part of its prompt that other requests may share, how many
 * engines were lost one after the other with requests that have the part, including this
 * one; not null
 */
public record CrashCandidate(Map<String, Integer> crashNumbers) {

	/**
	 * Creates a candidate.
	 * @param crashNumbers the number of the loss by part, at least 1 each, not null
	 */
	public CrashCandidate {
		crashNumbers = Map.copyOf(crashNumbers);
	}

}
