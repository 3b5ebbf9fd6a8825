package org.mulberrycross.engine;

/**
 * Inference phases that an engine is configured to run.
 */
public enum EngineRole {

	/** Processes prompts only. */
	PREFILL,

	/** Generates output tokens only. */
	DECODE,

	/** Processes prompts and generates output tokens. */
	BOTH

}
