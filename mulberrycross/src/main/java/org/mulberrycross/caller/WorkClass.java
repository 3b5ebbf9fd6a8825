package org.mulberrycross.caller;

/**
 * Class of work by its expected output length. Immutable and thread-safe.
 */
public enum WorkClass {

	/** Work whose expected output is below the pipeline's threshold. */
	SHORT(1),

	/** Work whose expected or produced output is above the threshold or its estimate. */
	LONG(0);

	private final int priority;

	WorkClass(int priority) {
		this.priority = priority;
	}

	/**
	 * Returns the engine priority of steps of this class.
	 * @return the priority; a higher number goes first
	 */
	public int priority() {
		return this.priority;
	}

}
