package org.mulberrycross.engine;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits on the recovery of one stream. Immutable and thread-safe.
 *
 * @param maxSendsPerStep the maximum number of times that one step is sent to an engine
 * that answers probes, at least 1; the timeout doubles with each send
 * @param maxStageReplacements the maximum number of stage replacements in one stream,
 * including restarts with an empty cache on the same engine
 * @param maxRecoveryTime the maximum time from the first failed send until all layers
 * have run for the current positions
 * @param probeTimeout the timeout of one probe
 * @param transferTimeout the timeout of one export or import of a KV cache
 * @param cancelTimeout the timeout of one cancel call
 * @param maxRetainedBytes the maximum size of the stage inputs retained for
 * recomputation, in bytes; the tokens themselves are always retained
 * @param positionsPerRecomputation the maximum positions recomputed in one step
 */
public record RecoveryLimits(int maxSendsPerStep, int maxStageReplacements, Duration maxRecoveryTime,
		Duration probeTimeout, Duration transferTimeout, Duration cancelTimeout, long maxRetainedBytes,
		int positionsPerRecomputation) {

	/**
	 * Limits for a daemon. A stream should resume within 2 s of a failure: a step timeout
	 * of at most 1 s and a probe of 300 ms leave 0.7 s for recomputation. The maximum
	 * recovery time covers three sends of 1, 2 and 4 s and their probes, for an engine
	 * that is slow but has not failed.
	 */
	public static final RecoveryLimits DEFAULT = new RecoveryLimits(3, 8, Duration.ofSeconds(10),
			Duration.ofMillis(300), Duration.ofMillis(500), Duration.ofMillis(300), 8 << 20, 1024);

	/**
	 * Creates limits.
	 * @param maxSendsPerStep the maximum number of sends of one step, at least 1
	 * @param maxStageReplacements the maximum number of stage replacements, 0 or more
	 * @param maxRecoveryTime the maximum time of one recovery, not null
	 * @param probeTimeout the timeout of one probe, not null
	 * @param transferTimeout the timeout of one export or import, not null
	 * @param cancelTimeout the timeout of one cancel call, not null
	 * @param maxRetainedBytes the maximum size of retained stage inputs, 0 or more
	 * @param positionsPerRecomputation the maximum positions per step, at least 1
	 */
	public RecoveryLimits {
		Objects.requireNonNull(maxRecoveryTime, "maxRecoveryTime");
		Objects.requireNonNull(probeTimeout, "probeTimeout");
		Objects.requireNonNull(transferTimeout, "transferTimeout");
		Objects.requireNonNull(cancelTimeout, "cancelTimeout");
		if (maxSendsPerStep < 1 || maxStageReplacements < 0 || maxRetainedBytes < 0 || positionsPerRecomputation < 1) {
			throw new IllegalArgumentException("invalid recovery limits: sends per step " + maxSendsPerStep
					+ ", stage replacements " + maxStageReplacements + ", retained bytes " + maxRetainedBytes
					+ ", positions per recomputation " + positionsPerRecomputation);
		}
	}

}
