package org.mulberrycross.engine;

import java.util.Objects;

/**
 * The calls to engines that a stream needs. Immutable and as thread-safe as the calls.
 *
 * @param step runs a step, on a pooled connection if there is one
 * @param stepOnNewConnection runs a step on a connection opened for it
 * @param probe asks an engine whether it answers
 * @param cancel ends a stream on an engine
 * @param exportCache reads a stream's KV cache
 * @param importCache hands over a stream's KV cache
 */
public record StageCalls(StageClient step, StageClient stepOnNewConnection, StageProbe probe, StageCancel cancel,
		KvExport exportCache, KvImport importCache) {

	/**
	 * Creates the calls.
	 * @param step runs a step, not null
	 * @param stepOnNewConnection runs a step on a connection opened for it, not null
	 * @param probe asks an engine whether it answers, not null
	 * @param cancel ends a stream on an engine, not null
	 * @param exportCache reads a stream's KV cache, not null
	 * @param importCache hands over a stream's KV cache, not null
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
	 * @return the changed calls
	 */
	public StageCalls withStep(StageClient client) {
		return new StageCalls(client, this.stepOnNewConnection, this.probe, this.cancel, this.exportCache,
				this.importCache);
	}

}
