package org.mulberrycross.caller;

/**
 * Class of a request by its estimated output length. Immutable and thread-safe.
 */
public enum WorkClass {

	/** The estimated output is shorter than the pipeline's threshold. */
	SHORT(1),

	/** The estimated output reaches the threshold, or the output exceeds its estimate. */
	LONG(0);

	private final int priority;

	WorkClass(int priority) {
		this.priority = priority;
	}

	/**
	 * Returns the priority of this class's steps on an engine.
	 * @return the priority; steps with a higher number run first
	 */
	public int priority() {
		return this.priority;
	}

}
