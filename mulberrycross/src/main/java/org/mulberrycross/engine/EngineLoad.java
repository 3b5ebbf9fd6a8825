package org.mulberrycross.engine;

/**
 * Load report of an engine, part of each step reply. Immutable and thread-safe.
 *
 * @param running the number of steps in the current batch
 * @param queued the number of steps that wait for a batch
 * @param batchLimit the maximum number of steps in a batch, 1 or more
 * @param stepMicros the time of one batch step, in microseconds
 * @param leaving whether the engine is about to stop and accepts no new streams
 */
public record EngineLoad(int running, int queued, int batchLimit, long stepMicros, boolean leaving) {

}
