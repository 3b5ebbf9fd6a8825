package org.mulberrycross.engine;

/**
 * Work that an engine is set up for.
 */
public enum EngineRole {

	/** Runs prompts only. */
	PREFILL,

	/** Runs generated tokens only. */
	DECODE,

	/** Runs both. */
	BOTH

}
