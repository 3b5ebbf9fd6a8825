package org.mulberrycross.engine;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds on the recovery of one stream. Immutable and thread-safe.
 *
 * @param maxSends the number of times that one step is sent to an engine that answers
 * probes, at least 1; each send waits twice as long as the one before
 * @param maxReplacements the number of stages that are replaced in one stream
 * @param maxRecovery the time from a loss until the token in work is complete
 * @param probeTimeout the bound on one probe
 * @param transferTimeout the bound on one export or import of a KV cache
 * @param cancelTimeout the bound on one cancel call
 * @param retainedBytes the stage inputs that are kept for recomputation, in bytes; the
 * tokens themselves are always kept
 * @param chunkPositions the number of positions that one step recomputes
 */
public record RecoveryLimits(int maxSends, int maxReplacements, Duration maxRecovery, Duration probeTimeout,
		Duration transferTimeout, Duration cancelTimeout, long retainedBytes, int chunkPositions) {

	/**
	 * Limits for a daemon. The goal is service back within 2 s: a probe of 300 ms after a
	 * step timeout of at most 1 s leaves 0.7 s to recompute. The whole time covers three
	 * sends of 1, 2 and 4 s with their probes to an engine that is slow but not lost.
	 */
	public static final RecoveryLimits DEFAULT = new RecoveryLimits(3, 8, Duration.ofSeconds(10),
			Duration.ofMillis(300), Duration.ofMillis(500), Duration.ofMillis(300), 8 << 20, 1024);

	/**
	 * Creates limits.
	 * @param maxSends the number of sends of one step, at least 1
	 * @param maxReplacements the number of replaced stages, 0 or more
	 * @param maxRecovery the whole time of one recovery, not null
	 * @param probeTimeout the bound on one probe, not null
	 * @param transferTimeout the bound on one export or import, not null
	 * @param cancelTimeout the bound on one cancel call, not null
	 * @param retainedBytes the bytes of stage inputs to keep, 0 or more
	 * @param chunkPositions the positions per recomputed step, at least 1
	 */
	public RecoveryLimits {
		Objects.requireNonNull(maxRecovery, "maxRecovery");
		Objects.requireNonNull(probeTimeout, "probeTimeout");
		Objects.requireNonNull(transferTimeout, "transferTimeout");
		Objects.requireNonNull(cancelTimeout, "cancelTimeout");
		if (maxSends < 1 || maxReplacements < 0 || retainedBytes < 0 || chunkPositions < 1) {
			throw new IllegalArgumentException("sends " + maxSends + ", replacements " + maxReplacements + ", bytes "
					+ retainedBytes + ", positions " + chunkPositions);
		}
	}

}
