package org.mulberrycross.engine;

import java.util.Objects;
import java.util.Optional;

/**
 * State of one lease as known to this daemon. Immutable and thread-safe. Times are on the
 * daemon's monotonic clock.
 *
 * @param phase the action whose result is awaited, not null
 * @param lastSeen the last record that was read or written, not null
 * @param firstSeenNanos the time when that version of the record was first seen
 * @param token the token for the next write, not null
 * @param pendingWrite the record of a write whose outcome is not known yet, that of
 * {@link StoredLease#NONE} if there is none, not null
 * @param sentNanos a clock reading taken before that write was sent, 0 if there is none
 * @param held the record under which this daemon holds the lease, or
 * {@link StoredLease#NONE} if it does not, not null
 * @param validUntilNanos the expiry time of the held lease
 * @param terms what outlasts the records of the store, not null
 */
public record LeaseState(Phase phase, StoredLease lastSeen, long firstSeenNanos, String token,
		OrderLeaseRecord pendingWrite, long sentNanos, StoredLease held, long validUntilNanos, TermHistory terms) {

	/**
	 * Creates a state.
	 * @param phase the action whose result is awaited, not null
	 * @param lastSeen the last record that was read or written, not null
	 * @param firstSeenNanos the time when that version of the record was first seen
	 * @param token the token for the next write, not null
	 * @param pendingWrite the record of a write whose outcome is not known yet, not null
	 * @param sentNanos a clock reading taken before that write was sent, 0 if there is
	 * none
	 * @param held the record under which this daemon holds the lease, not null
	 * @param validUntilNanos the expiry time of the held lease
	 * @param terms what outlasts the records of the store, not null
	 */
	public LeaseState {
		Objects.requireNonNull(phase, "phase");
		Objects.requireNonNull(lastSeen, "lastSeen");
		Objects.requireNonNull(token, "token");
		Objects.requireNonNull(pendingWrite, "pendingWrite");
		Objects.requireNonNull(held, "held");
		Objects.requireNonNull(terms, "terms");
	}

	/**
	 * Returns the state of a daemon that has not read the record yet.
	 * @return the initial state
	 */
	public static LeaseState initial() {
		return new LeaseState(Phase.IDLE, StoredLease.NONE, 0, "", StoredLease.NONE.lease(), 0, StoredLease.NONE, 0,
				TermHistory.NONE);
	}

	/**
	 * Returns the state of a daemon that gives up the lease, since an engine has seen a
	 * higher fencing number than its own.
	 * @return the state, without a lease
	 */
	public LeaseState abandoned() {
		return initial().withTerms(this.terms);
	}

	/**
	 * Returns the grant to send orders. The caller checks its expiry when it is used.
	 * @return the grant, which may have expired, or empty if the lease is not held
	 */
	public Optional<LeaseGrant> grant() {
		return this.held.exists() ? Optional.of(new LeaseGrant(this.held.lease().fencing(), this.validUntilNanos))
				: Optional.empty();
	}

	LeaseState withPhase(Phase newPhase) {
		return new LeaseState(newPhase, this.lastSeen, this.firstSeenNanos, this.token, this.pendingWrite,
				this.sentNanos, this.held, this.validUntilNanos, this.terms);
	}

	LeaseState withToken(String newToken) {
		return new LeaseState(this.phase, this.lastSeen, this.firstSeenNanos, newToken, this.pendingWrite,
				this.sentNanos, this.held, this.validUntilNanos, this.terms);
	}

	LeaseState withPendingWrite(OrderLeaseRecord lease, long nowNanos) {
		return new LeaseState(Phase.WRITING, this.lastSeen, this.firstSeenNanos, this.token, lease, nowNanos, this.held,
				this.validUntilNanos, this.terms);
	}

	LeaseState withoutPendingWrite() {
		return new LeaseState(Phase.IDLE, this.lastSeen, this.firstSeenNanos, this.token, StoredLease.NONE.lease(), 0,
				this.held, this.validUntilNanos, this.terms);
	}

	LeaseState withoutHeldLease() {
		return new LeaseState(this.phase, this.lastSeen, this.firstSeenNanos, this.token, this.pendingWrite,
				this.sentNanos, StoredLease.NONE, 0, this.terms);
	}

	LeaseState withLastSeen(StoredLease stored, long nowNanos) {
		boolean unchanged = stored.equals(this.lastSeen);
		return new LeaseState(this.phase, stored, unchanged ? this.firstSeenNanos : nowNanos, this.token,
				this.pendingWrite, this.sentNanos, this.held, this.validUntilNanos, this.terms.afterRead(stored));
	}

	LeaseState withHeldLease(StoredLease stored, long newValidUntilNanos, long nowNanos) {
		return new LeaseState(Phase.IDLE, stored, nowNanos, this.token, StoredLease.NONE.lease(), 0, stored,
				newValidUntilNanos, this.terms.afterRead(stored));
	}

	LeaseState withTerms(TermHistory newTerms) {
		return new LeaseState(this.phase, this.lastSeen, this.firstSeenNanos, this.token, this.pendingWrite,
				this.sentNanos, this.held, this.validUntilNanos, newTerms);
	}

	// Returns the state of a daemon that holds nothing and trusts no record that it
	// knows.
	LeaseState afterRestoration(long acquirableNanos) {
		return new LeaseState(Phase.IDLE, StoredLease.NONE, 0, this.token, StoredLease.NONE.lease(), 0,
				StoredLease.NONE, 0, this.terms.afterRestoration(acquirableNanos));
	}

	boolean hasPendingWrite() {
		return !this.pendingWrite.token().isEmpty();
	}

	/**
	 * The action whose result is awaited.
	 */
	public enum Phase {

		/** No action is in progress. */
		IDLE,

		/** The record is being read. */
		READING,

		/** The record is being written. */
		WRITING

	}

}
