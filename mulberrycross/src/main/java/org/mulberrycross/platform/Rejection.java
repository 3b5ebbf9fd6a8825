package org.mulberrycross.platform;

import java.util.List;
import java.util.Objects;

import org.mulberrycross.operator.ValidationError;

/**
 * An edit that is not accepted, with the reasons. It is evaluated again when other edits
 * are read. Immutable and thread-safe.
 *
 * @param edit the edit
 * @param faults the faults that the accepted set would have with the edit, not empty; for
 * a deletion, the faults of the objects that still refer to the deleted one
 */
public record Rejection(OperatorEdit edit, List<ValidationError> faults) {

	/**
	 * Creates a rejection.
	 * @param edit the rejected edit, not null
	 * @param faults the faults, not null
	 */
	public Rejection {
		Objects.requireNonNull(edit, "edit");
		faults = List.copyOf(faults);
	}

}
