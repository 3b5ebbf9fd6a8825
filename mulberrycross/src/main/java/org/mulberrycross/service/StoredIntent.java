package org.mulberrycross.service;

import java.util.Objects;

/**
 * A record with its name and version in the store. Immutable and thread-safe.
 *
 * @param name the name of the record, not null
 * @param version the version in the store
 * @param intent the record, not null
 */
public record StoredIntent(String name, long version, IntentRecord intent) {

	/**
	 * Creates a stored record.
	 * @param name the name of the record, not null
	 * @param version the version in the store
	 * @param intent the record, not null
	 */
	public StoredIntent {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(intent, "intent");
	}

}
