package org.mulberrycross.operator;

import java.util.List;

/**
 * Acceptance status of all operators' objects. Immutable and thread-safe.
 *
 * @param generation the accepted generation, 0 if nothing was accepted yet
 * @param objects the status of each object, ordered by key; deletions that are not
 * accepted yet come last
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
