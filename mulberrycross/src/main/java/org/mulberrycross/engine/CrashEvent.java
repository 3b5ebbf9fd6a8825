package org.mulberrycross.engine;

import java.util.List;

/**
 * What a daemon has seen of requests that may crash engines, and shares with the other
 * daemons. Implementations are immutable and thread-safe.
 */
public sealed interface CrashEvent {

	/**
	 * An engine was lost with requests that it had not begun to answer.
	 *
	 * @param engineId the id of the engine, unique for each of its starts, not null
	 * @param candidates the requests of one daemon, an immutable list, not empty
	 */
	record EngineLost(String engineId, List<CrashCandidate> candidates) implements CrashEvent {

	}

	/**
	 * An engine began to answer a request with a part of a prompt, so the part does not
	 * crash engines.
	 *
	 * @param part the id of the part, not null
	 */
	record PartBegun(String part) implements CrashEvent {

	}

	/**
	 * One daemon sends one request with a suspected part, to see whether it still crashes
	 * an engine.
	 *
	 * @param part the id of the part, not null
	 * @param crashCount the number of losses after which the trial takes place
	 */
	record TrialClaimed(String part, int crashCount) implements CrashEvent {

	}

}
