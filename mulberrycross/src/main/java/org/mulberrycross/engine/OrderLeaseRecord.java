package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Lease record as stored in the object API. Immutable and thread-safe.
 *
 * @param holder the name of the holder, shown to operators only, not null
 * @param fencing the fencing number, which increases with each term
 * @param token the unique token of the write that stored this record, not null
 * @param durationMillis the duration of the lease, counted from a clock reading taken
 * before the write was sent; stored so that daemons with other settings wait long enough
 */
public record OrderLeaseRecord(String holder, long fencing, String token, long durationMillis) {

	/**
	 * Creates a record.
	 * @param holder the name of the holder, not null
	 * @param fencing the fencing number
	 * @param token the unique token of the write, not null
	 * @param durationMillis the duration of the lease, in milliseconds
	 */
	public OrderLeaseRecord {
		Objects.requireNonNull(holder, "holder");
		Objects.requireNonNull(token, "token");
	}

}
