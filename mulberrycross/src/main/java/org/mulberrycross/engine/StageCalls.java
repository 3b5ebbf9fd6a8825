package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Calls to engines that a stream needs. Immutable; thread-safe if the calls are.
 *
 * @param step runs a step, on a pooled connection if there is one
 * @param stepOnNewConnection runs a step on a new connection, for the case that a pooled
 * connection has stalled
 * @param probe checks whether an engine answers
 * @param cancel ends a stream on an engine
 * @param exportCache reads a stream's KV cache from an engine
 * @param importCache sends a stream's KV cache to an engine
 */
public record StageCalls(StageClient step, StageClient stepOnNewConnection, StageProbe probe, StageCancel cancel,
		KvExport exportCache, KvImport importCache) {

	/**
	 * Creates the calls.
	 * @param step runs a step, not null
	 * @param stepOnNewConnection runs a step on a new connection, not null
	 * @param probe checks whether an engine answers, not null
	 * @param cancel ends a stream on an engine, not null
	 * @param exportCache reads a stream's KV cache from an engine, not null
	 * @param importCache sends a stream's KV cache to an engine, not null
	 */
	public StageCalls {
		Objects.requireNonNull(step, "step");
		Objects.requireNonNull(stepOnNewConnection, "stepOnNewConnection");
		Objects.requireNonNull(probe, "probe");
		Objects.requireNonNull(cancel, "cancel");
		Objects.requireNonNull(exportCache, "exportCache");
		Objects.requireNonNull(importCache, "importCache");
	}

	/**
	 * Returns these calls with another client for steps on pooled connections.
	 * @param client runs a step, not null
	 * @return the calls with that client
	 */
	public StageCalls withStep(StageClient client) {
		return new StageCalls(client, this.stepOnNewConnection, this.probe, this.cancel, this.exportCache,
				this.importCache);
	}

}
