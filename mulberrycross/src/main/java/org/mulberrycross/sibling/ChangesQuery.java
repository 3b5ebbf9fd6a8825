package org.mulberrycross.sibling;

import java.time.Duration;
import java.util.Objects;

import org.mulberrycross.StorePosition;

/**
 * Asks a sibling for the changes of the objects of a kind. Immutable and thread-safe.
 *
 * @param kind the kind of objects, not null
 * @param after the position up to which the changes are known, not null
 * @param maxWait the time within which the reply is of use, not null
 */
public record ChangesQuery(String kind, StorePosition after, Duration maxWait) {

	/**
	 * Creates a query.
	 * @param kind the kind of objects, not null
	 * @param after the position up to which the changes are known, not null
	 * @param maxWait the time within which the reply is of use, not null
	 */
	public ChangesQuery {
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(after, "after");
		Objects.requireNonNull(maxWait, "maxWait");
	}

}
