package org.mulberrycross.engine;

import java.util.Objects;
import java.util.Optional;

/**
 * What a daemon knows about one lease. Immutable and thread-safe.
 *
 * @param phase what is awaited, not null
 * @param seen the last record that was read or written, not null
 * @param seenNanos when that record was first seen unchanged
 * @param token the token for the next write, not null
 * @param pending the write that is awaited or not settled, {@link StoredLease#NONE} for
 * none; its version is the expected one
 * @param sentNanos a time before that write was sent
 * @param held the record under which this daemon holds the lease,
 * {@link StoredLease#NONE} for none
 * @param validUntilNanos the end of the validity of that record
 */
public record LeaseState(Phase phase, StoredLease seen, long seenNanos, String token, LeaseRecord pending,
		long sentNanos, StoredLease held, long validUntilNanos) {

	/**
	 * Creates a state.
	 * @param phase what is awaited, not null
	 * @param seen the last record that was read or written, not null
	 * @param seenNanos when that record was first seen unchanged
	 * @param token the token for the next write, not null
	 * @param pending the write that is awaited or not settled, not null
	 * @param sentNanos a time before that write was sent
	 * @param held the record under which this daemon holds the lease, not null
	 * @param validUntilNanos the end of the validity of that record
	 */
	public LeaseState {
		Objects.requireNonNull(phase, "phase");
		Objects.requireNonNull(seen, "seen");
		Objects.requireNonNull(token, "token");
		Objects.requireNonNull(pending, "pending");
		Objects.requireNonNull(held, "held");
	}

	/**
	 * Returns the state of a daemon that has just started.
	 * @return the state
	 */
	public static LeaseState initial() {
		return new LeaseState(Phase.IDLE, StoredLease.NONE, 0, "", StoredLease.NONE.lease(), 0, StoredLease.NONE, 0);
	}

	/**
	 * Returns the right to send orders. Whoever uses it checks its validity at that time.
	 * @return the right, which may have ended, or empty if there is none
	 */
	public Optional<LeaseGrant> grant() {
		return this.held.exists() ? Optional.of(new LeaseGrant(this.held.lease().fencing(), this.validUntilNanos))
				: Optional.empty();
	}

	LeaseState in(Phase next) {
		return new LeaseState(next, this.seen, this.seenNanos, this.token, this.pending, this.sentNanos, this.held,
				this.validUntilNanos);
	}

	LeaseState withToken(String next) {
		return new LeaseState(this.phase, this.seen, this.seenNanos, next, this.pending, this.sentNanos, this.held,
				this.validUntilNanos);
	}

	LeaseState writing(LeaseRecord lease, long nowNanos) {
		return new LeaseState(Phase.WRITING, this.seen, this.seenNanos, this.token, lease, nowNanos, this.held,
				this.validUntilNanos);
	}

	LeaseState withoutPending() {
		return new LeaseState(Phase.IDLE, this.seen, this.seenNanos, this.token, StoredLease.NONE.lease(), 0, this.held,
				this.validUntilNanos);
	}

	LeaseState withoutHeld() {
		return new LeaseState(this.phase, this.seen, this.seenNanos, this.token, this.pending, this.sentNanos,
				StoredLease.NONE, 0);
	}

	LeaseState seeing(StoredLease stored, long nowNanos) {
		boolean unchanged = stored.version() == this.seen.version();
		return new LeaseState(this.phase, stored, unchanged ? this.seenNanos : nowNanos, this.token, this.pending,
				this.sentNanos, this.held, this.validUntilNanos);
	}

	LeaseState holding(StoredLease stored, long validUntil, long nowNanos) {
		return new LeaseState(Phase.IDLE, stored, nowNanos, this.token, StoredLease.NONE.lease(), 0, stored,
				validUntil);
	}

	boolean unsettled() {
		return !this.pending.token().isEmpty();
	}

	/**
	 * What is awaited.
	 */
	public enum Phase {

		/** Nothing. */
		IDLE,

		/** The result of a read. */
		READING,

		/** The result of a write. */
		WRITING

	}

}
