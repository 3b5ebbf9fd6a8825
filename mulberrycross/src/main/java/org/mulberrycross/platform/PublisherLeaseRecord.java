package org.mulberrycross.platform;

import java.util.Objects;

/**
 * Value of the publisher lease in the object API. Immutable and thread-safe.
 *
 * @param holder the name of the daemon that holds the lease
 * @param token unique for every write
 * @param fencing the fencing number, which increases each time the lease is acquired
 */
public record PublisherLeaseRecord(String holder, String token, long fencing) {

	/**
	 * Creates a record.
	 * @param holder the name of the daemon that holds the lease, not null
	 * @param token unique for every write, not null
	 * @param fencing the fencing number, which increases each time the lease is acquired
	 */
	public PublisherLeaseRecord {
		Objects.requireNonNull(holder, "holder");
		Objects.requireNonNull(token, "token");
	}

}
