package org.mulberrycross.platform;

import java.util.Objects;

/**
 * Content of a lease in the object API. Immutable and thread-safe.
 *
 * @param holder the name of the daemon that holds the lease
 * @param token unique for every write
 * @param fencing grows each time the lease gets another holder
 */
public record LeaseRecord(String holder, String token, long fencing) {

	/**
	 * Creates a record.
	 * @param holder the name of the daemon that holds the lease, not null
	 * @param token unique for every write, not null
	 * @param fencing grows each time the lease gets another holder
	 */
	public LeaseRecord {
		Objects.requireNonNull(holder, "holder");
		Objects.requireNonNull(token, "token");
	}

}
