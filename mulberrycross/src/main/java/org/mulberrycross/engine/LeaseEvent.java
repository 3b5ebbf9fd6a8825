package org.mulberrycross.engine;

import java.util.Optional;

/**
 * What a lease reacts to. Immutable and thread-safe.
 */
public sealed interface LeaseEvent {

	/**
	 * Time has passed and the lease is wanted. Without ticks a lease expires.
	 *
	 * @param token a token that no write has used, for a write that may follow
	 */
	record Tick(String token) implements LeaseEvent {

	}

	/**
	 * The record was read.
	 *
	 * @param stored the record, empty if there is none
	 */
	record Found(Optional<StoredLease> stored) implements LeaseEvent {

	}

	/**
	 * The record was written.
	 *
	 * @param version its version
	 */
	record Written(long version) implements LeaseEvent {

	}

	/**
	 * The record was not written since it has another version.
	 */
	record Refused() implements LeaseEvent {

	}

	/**
	 * The answer to a write was lost. The write may have taken effect or may do so later.
	 */
	record WriteLost() implements LeaseEvent {

	}

	/**
	 * A read was not answered, or a write did not take effect.
	 */
	record Unavailable() implements LeaseEvent {

	}

}
