package org.mulberrycross.engine;

import java.util.Objects;

/**
 * Record of a lease as kept in the object API. Immutable and thread-safe.
 *
 * @param holder the name of the holder, for operators only, not null
 * @param fencing the fencing number, which grows with every term of a holder
 * @param token the unique token of the write that stored this record, not null
 * @param durationMillis the time for which the holder may act after it sent that write;
 * stored, so that daemons with other settings wait long enough
 */
public record LeaseRecord(String holder, long fencing, String token, long durationMillis) {

	/**
	 * Creates a record.
	 * @param holder the name of the holder, not null
	 * @param fencing the fencing number
	 * @param token the unique token of the write, not null
	 * @param durationMillis the time for which the holder may act, in milliseconds
	 */
	public LeaseRecord {
		Objects.requireNonNull(holder, "holder");
		Objects.requireNonNull(token, "token");
	}

}
