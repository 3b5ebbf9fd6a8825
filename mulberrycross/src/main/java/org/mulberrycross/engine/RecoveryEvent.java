package org.mulberrycross.engine;

/**
 * What happened while a stream recovered from a loss. Immutable and thread-safe.
 */
public sealed interface RecoveryEvent {

	/**
	 * An engine did not answer a probe on a new connection.
	 *
	 * @param engine the name of the engine
	 */
	record ProbeFailed(String engine) implements RecoveryEvent {

	}

	/**
	 * An engine answered a probe, so that only a connection was silent, or the engine was
	 * slow.
	 *
	 * @param engine the name of the engine
	 */
	record ProbeAnswered(String engine) implements RecoveryEvent {

	}

	/**
	 * An engine answered probes but no step in all sends.
	 *
	 * @param engine the name of the engine
	 */
	record StepsUnanswered(String engine) implements RecoveryEvent {

	}

	/**
	 * A stage was replaced.
	 *
	 * @param engine the name of the lost engine
	 * @param cacheMoved whether the KV cache was exported and imported
	 */
	record StageReplaced(String engine, boolean cacheMoved) implements RecoveryEvent {

	}

	/**
	 * Layers ran again for positions that they had run before.
	 *
	 * @param passes the number of layers times the number of positions
	 */
	record PassesRerun(long passes) implements RecoveryEvent {

	}

}
