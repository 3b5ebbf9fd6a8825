package org.mulberrycross.platform;

import java.util.Objects;

import org.mulberrycross.operator.OperatorObject;

/**
 * An operator's object with the version that was accepted. Immutable and thread-safe.
 *
 * @param version the version in the object API
 * @param object the object, not null
 */
public record AcceptedObject(long version, OperatorObject object) {

	/**
	 * Creates an accepted object.
	 * @param version the version in the object API
	 * @param object the object, not null
	 */
	public AcceptedObject {
		Objects.requireNonNull(object, "object");
	}

}
