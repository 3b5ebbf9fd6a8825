package org.mulberrycross.engine;

/**
 * Why a stream is moved before its pause is too long.
 */
public enum MoveCause {

	/** Streams that share an engine are silent together. */
	SHARED_SILENCE,

	/** The stream alone is silent for far longer than its own pace. */
	LONE_SILENCE,

	/** The stream waits for its first event from a path with a silent engine. */
	SILENT_ENGINE

}
