package org.mulberrycross.operator;

import java.util.List;

/**
 * Status of the operators' objects. Immutable and thread-safe.
 *
 * @param generation the accepted generation, 0 if nothing was ever accepted
 * @param objects the status of each object, in the order of their keys
 */
public record StatusReport(long generation, List<ObjectStatus> objects) {

	/**
	 * Creates a report.
	 * @param generation the accepted generation
	 * @param objects the status of each object, not null
	 */
	public StatusReport {
		objects = List.copyOf(objects);
	}

}
