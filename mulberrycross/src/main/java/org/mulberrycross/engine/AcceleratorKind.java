package org.mulberrycross.engine;

import java.util.Objects;

/**
 * One kind of accelerator. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param memoryMb the memory for layers and requests together, in MB
 * @param stepFactor the time of a step relative to the model's reference
 * @param readFactor the time to read a prompt relative to the model's reference
 */
public record AcceleratorKind(String name, double memoryMb, double stepFactor, double readFactor) {

	/**
	 * Creates a kind.
	 * @param name the name, not null
	 * @param memoryMb the memory, in MB
	 * @param stepFactor the time of a step relative to the reference
	 * @param readFactor the time to read a prompt relative to the reference
	 */
	public AcceleratorKind {
		Objects.requireNonNull(name, "name");
	}

}
