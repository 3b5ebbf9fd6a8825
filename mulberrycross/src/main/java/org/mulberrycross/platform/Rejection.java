package org.mulberrycross.platform;

import java.util.List;
import java.util.Objects;

import org.mulberrycross.operator.ValidationError;

/**
 * An edit that is not accepted, with the reasons. It is evaluated again when other edits
 * are read. Immutable and thread-safe.
 *
 * @param edit the edit
 * @param errors the errors that the accepted set would have with the edit, not empty; for
 * a deletion, the errors of the objects that still refer to the deleted one
 */
public record Rejection(OperatorEdit edit, List<ValidationError> errors) {

	/**
	 * Creates a rejection.
	 * @param edit the rejected edit, not null
	 * @param errors the errors, not null
	 */
	public Rejection {
		Objects.requireNonNull(edit, "edit");
		errors = List.copyOf(errors);
	}

}
