package org.mulberrycross.engine;

import java.util.Optional;

/**
 * Input of the lease state machine: a tick or the result of an action. Immutable and
 * thread-safe.
 */
public sealed interface LeaseEvent {

	/**
	 * Requests to acquire or renew the lease. Without ticks the lease expires.
	 *
	 * @param token a unique token for the next write
	 * @param fencingFloor the number above which the fencing number of a new term must be
	 */
	record Tick(String token, long fencingFloor) implements LeaseEvent {

	}

	/**
	 * The read succeeded.
	 *
	 * @param stored the stored record, empty if there is none
	 */
	record ReadCompleted(Optional<StoredLease> stored) implements LeaseEvent {

	}

	/**
	 * The store came back from an older copy. The result of an action that was awaited is
	 * lost, and so may be what was written before.
	 */
	record StoreRestored() implements LeaseEvent {

	}

	/**
	 * The write took effect.
	 *
	 * @param version the new version of the record
	 */
	record WriteCompleted(long version) implements LeaseEvent {

	}

	/**
	 * The write was rejected because the stored record has another version.
	 */
	record WriteConflict() implements LeaseEvent {

	}

	/**
	 * The response to a write was lost. It may have taken effect or may do so later.
	 */
	record WriteOutcomeUnknown() implements LeaseEvent {

	}

	/**
	 * A read failed, or a write is known to have had no effect.
	 */
	record CallFailed() implements LeaseEvent {

	}

}
