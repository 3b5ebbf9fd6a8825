package org.mulberrycross.service;

import java.util.Objects;

/**
 * An intent record as read from the store. Immutable and thread-safe.
 *
 * @param name the name of the record in the store, not null
 * @param version the version in the store, for conditional writes
 * @param intent the record, not null
 */
public record StoredIntent(String name, long version, IntentRecord intent) {

	/**
	 * Creates a stored record.
	 * @param name the name of the record in the store, not null
	 * @param version the version in the store, for conditional writes
	 * @param intent the record, not null
	 */
	public StoredIntent {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(intent, "intent");
	}

}
