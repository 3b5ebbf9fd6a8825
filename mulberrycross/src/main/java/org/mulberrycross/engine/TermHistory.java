package org.mulberrycross.engine;

import java.util.OptionalLong;

/**
 * What a daemon knows of the terms of a lease beyond the record in the store, which may
 * be replaced by an older copy. Immutable and thread-safe.
 *
 * @param highestFencing the highest fencing number seen or reserved, 0 if there is none
 * @param recordRead whether the record was read since the start or since the store came
 * back from an older copy
 * @param acquirableNanos the time on the daemon's monotonic clock from which the lease
 * may be acquired again after the store came back, empty if it did not
 */
record TermHistory(long highestFencing, boolean recordRead, OptionalLong acquirableNanos) {

	/** The history of a daemon that has not read the record yet. */
	static final TermHistory NONE = new TermHistory(0, false, OptionalLong.empty());

	// Returns the history after a record was read or written.
	TermHistory afterRead(StoredLease stored) {
		return new TermHistory(Math.max(this.highestFencing, stored.lease().fencing()), true, this.acquirableNanos);
	}

	// Returns the history with a lower bound on the fencing numbers of new terms.
	TermHistory withFencingFloor(long floor) {
		return new TermHistory(Math.max(this.highestFencing, floor), this.recordRead, this.acquirableNanos);
	}

	// Returns the history after the store came back from an older copy. Until a time, the
	// holder of a lease whose record is lost may still act on it.
	TermHistory afterRestoration(long acquirable) {
		return new TermHistory(this.highestFencing, false, OptionalLong.of(acquirable));
	}

	// Returns whether the lease may be acquired as far as the former era is concerned.
	boolean isAcquirable(long nowNanos) {
		return this.acquirableNanos.isEmpty() || nowNanos - this.acquirableNanos.getAsLong() >= 0;
	}

}
