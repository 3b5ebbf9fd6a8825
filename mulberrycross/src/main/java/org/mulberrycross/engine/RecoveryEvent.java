package org.mulberrycross.engine;

/**
 * Event during the recovery of a stream from a failed stage. Immutable and thread-safe.
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
	 * An engine answered a probe, so a connection had stalled or the engine is slow.
	 *
	 * @param engine the name of the engine
	 */
	record ProbeAnswered(String engine) implements RecoveryEvent {

	}

	/**
	 * An engine answered probes, but refused a step or did not reply to any send of it.
	 *
	 * @param engine the name of the engine
	 */
	record StepsUnanswered(String engine) implements RecoveryEvent {

	}

	/**
	 * A stage was replaced, or restarted with an empty cache on the same engine.
	 *
	 * @param engine the name of the engine of the failed stage
	 * @param cacheMoved whether the KV cache was transferred, not recomputed
	 */
	record StageReplaced(String engine, boolean cacheMoved) implements RecoveryEvent {

	}

	/**
	 * Layers were recomputed for positions that had already run.
	 *
	 * @param layerPasses the number of layers times the number of positions
	 */
	record LayersRecomputed(long layerPasses) implements RecoveryEvent {

	}

}
