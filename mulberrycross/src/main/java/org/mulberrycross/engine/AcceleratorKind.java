package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Memory and relative speed of one kind of accelerator. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param memoryMb the memory for weights and key-value caches together, in MB
 * @param stepFactor the time of a decode step relative to the reference accelerator
 * @param prefillFactor the prefill time of a prompt relative to the reference accelerator
 */
public record AcceleratorKind(String name, double memoryMb, double stepFactor, double prefillFactor) {

	/**
	 * Creates a kind.
	 * @param name the name, not null
	 * @param memoryMb the memory, in MB
	 * @param stepFactor the time of a decode step relative to the reference
	 * @param prefillFactor the prefill time relative to the reference
	 */
	public AcceleratorKind {
		Objects.requireNonNull(name, "name");
	}

}
