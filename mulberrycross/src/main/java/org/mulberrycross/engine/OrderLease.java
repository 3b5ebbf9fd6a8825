package org.mulberrycross.engine;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.mulberrycross.Transition;

/**
 * State machine by which a daemon acquires and renews the lease of an engine or a group
 * of engines. At most one daemon holds a valid lease at any time, provided that the
 * clocks of two daemons differ in rate by no more than {@link #CLOCK_RATE_MARGIN}:
 * <ul>
 * <li>the validity of a lease starts before its holder sends the write;
 * <li>another daemon waits for the full duration of the stored lease plus the margin
 * after it first saw the current version of the record, and replaces only this version;
 * <li>each term has a higher fencing number (fencing token) than the previous one, even
 * if the same daemon acquires the lease again after it expired, or the store comes back
 * from an older copy;
 * <li>when the store came back, a daemon gives up what it holds and waits for the full
 * duration plus the margin, whatever the record says: the holder of a lease whose record
 * is lost may still act on it;
 * <li>if the outcome of a write is unknown, the record is read back and its write token
 * is compared. A write that takes effect after that read is treated like the record of
 * another daemon.
 * </ul>
 * Immutable and thread-safe.
 */
public final class OrderLease {

	/**
	 * Maximum relative difference between the rates of two clocks. Clocks synchronised by
	 * NTP differ by at most 0.1 %; ten times that adds little waiting time.
	 */
	public static final double CLOCK_RATE_MARGIN = 0.01;

	/** A renewal after a third of the duration leaves time for two more attempts. */
	private static final int RENEWALS_PER_LEASE = 3;

	private final String holder;

	private final Duration duration;

	/**
	 * Creates the state machine.
	 * @param holder the name of this daemon, not null
	 * @param duration the duration of the lease after each write, at least one
	 * millisecond; fractions of a millisecond are dropped
	 */
	public OrderLease(String holder, Duration duration) {
		this.holder = Objects.requireNonNull(holder, "holder");
		if (duration.toMillis() < 1) {
			throw new IllegalArgumentException("lease duration " + duration + " is shorter than 1 ms");
		}
		this.duration = Duration.ofMillis(duration.toMillis());
	}

	/**
	 * Handles an event. A tick has no effect while the result of an action is awaited.
	 * @param state the current state, not null
	 * @param event a tick or the result of the last action, not null
	 * @param nowNanos the time on the daemon's monotonic clock, read before the returned
	 * action is performed
	 * @return the next state and at most one action
	 * @throws IllegalStateException if the event is not valid in the current phase or an
	 * invariant is violated
	 */
	public Transition<LeaseState, LeaseAction> next(LeaseState state, LeaseEvent event, long nowNanos) {
		Transition<LeaseState, LeaseAction> next = transition(state, event, nowNanos);
		checkInvariants(state, next.state(), nowNanos);
		return next;
	}

	private Transition<LeaseState, LeaseAction> transition(LeaseState state, LeaseEvent event, long nowNanos) {
		if (event instanceof LeaseEvent.StoreRestored) {
			return Transition.withoutActions(restored(state, nowNanos));
		}
		if (event instanceof LeaseEvent.Tick tick) {
			LeaseState next = state.withToken(tick.token())
				.withTerms(state.terms().withFencingFloor(tick.fencingFloor()));
			return (state.phase() == LeaseState.Phase.IDLE) ? handleTick(next, nowNanos)
					: Transition.withoutActions(state);
		}
		if (state.phase() == LeaseState.Phase.READING && event instanceof LeaseEvent.ReadCompleted read) {
			return handleRead(state.withPhase(LeaseState.Phase.IDLE), read.stored().orElse(StoredLease.NONE), nowNanos);
		}
		if (state.phase() == LeaseState.Phase.READING && event instanceof LeaseEvent.CallFailed) {
			return Transition.withoutActions(state.withPhase(LeaseState.Phase.IDLE));
		}
		if (state.phase() != LeaseState.Phase.WRITING || event instanceof LeaseEvent.ReadCompleted) {
			throw new IllegalStateException("event " + event + " is not valid in lease phase " + state.phase());
		}
		if (event instanceof LeaseEvent.WriteCompleted written) {
			return Transition
				.withoutActions(holdLease(state, new StoredLease(written.version(), state.pendingWrite()), nowNanos));
		}
		if (event instanceof LeaseEvent.WriteOutcomeUnknown) {
			return Transition.withoutActions(state.withPhase(LeaseState.Phase.IDLE));
		}
		if (event instanceof LeaseEvent.WriteConflict) {
			return startRead(state.withoutPendingWrite().withoutHeldLease());
		}
		return Transition.withoutActions(state.withoutPendingWrite());
	}

	private Transition<LeaseState, LeaseAction> handleTick(LeaseState state, long nowNanos) {
		if (state.hasPendingWrite()) {
			return startRead(state);
		}
		if (state.held().exists()) {
			long remaining = state.validUntilNanos() - nowNanos;
			if (remaining <= 0) {
				return startWrite(state, state.held(), nowNanos, state.terms().highestFencing() + 1);
			}
			boolean renewalDue = remaining <= this.duration.toNanos() / RENEWALS_PER_LEASE * (RENEWALS_PER_LEASE - 1);
			return renewalDue ? startWrite(state, state.held(), nowNanos, state.held().lease().fencing())
					: Transition.withoutActions(state);
		}
		boolean readDue = !state.terms().recordRead() || canAcquire(state, nowNanos);
		return readDue ? startRead(state) : Transition.withoutActions(state);
	}

	private Transition<LeaseState, LeaseAction> handleRead(LeaseState state, StoredLease stored, long nowNanos) {
		if (state.hasPendingWrite() && stored.lease().token().equals(state.pendingWrite().token())) {
			return Transition.withoutActions(holdLease(state, stored, nowNanos));
		}
		LeaseState resolved = state.withoutPendingWrite();
		if (resolved.held().exists() && stored.equals(resolved.held())) {
			return Transition.withoutActions(resolved);
		}
		// A store that names no eras shows by a lower number that it came back from an
		// older copy.
		LeaseState trusted = (stored.lease().fencing() < resolved.lastSeen().lease().fencing())
				? restored(resolved, nowNanos) : resolved;
		LeaseState observed = trusted.withoutHeldLease().withLastSeen(stored, nowNanos);
		return canAcquire(observed, nowNanos)
				? startWrite(observed, stored, nowNanos, observed.terms().highestFencing() + 1)
				: Transition.withoutActions(observed);
	}

	// The former holder may have had a longer duration than this daemon.
	private LeaseState restored(LeaseState state, long nowNanos) {
		long longestMillis = Math.max(this.duration.toMillis(), state.lastSeen().lease().durationMillis());
		return state.afterRestoration(nowNanos + expiryNanos(longestMillis));
	}

	private static long expiryNanos(long durationMillis) {
		return (long) Math.ceil(Duration.ofMillis(durationMillis).toNanos() * (1 + CLOCK_RATE_MARGIN));
	}

	private static boolean canAcquire(LeaseState state, long nowNanos) {
		boolean expired = !state.lastSeen().exists()
				|| nowNanos - state.firstSeenNanos() >= expiryNanos(state.lastSeen().lease().durationMillis());
		return expired && state.terms().isAcquirable(nowNanos);
	}

	private LeaseState holdLease(LeaseState state, StoredLease stored, long nowNanos) {
		return state.withHeldLease(stored, state.sentNanos() + this.duration.toNanos(), nowNanos);
	}

	private Transition<LeaseState, LeaseAction> startRead(LeaseState state) {
		return new Transition<>(state.withPhase(LeaseState.Phase.READING), List.of(new LeaseAction.Read()));
	}

	private Transition<LeaseState, LeaseAction> startWrite(LeaseState state, StoredLease expected, long nowNanos,
			long fencing) {
		OrderLeaseRecord lease = new OrderLeaseRecord(this.holder, fencing, state.token(), this.duration.toMillis());
		return new Transition<>(state.withPendingWrite(lease, nowNanos),
				List.of(new LeaseAction.Write(lease, expected.version())));
	}

	private void checkInvariants(LeaseState before, LeaseState after, long nowNanos) {
		if (after.terms().highestFencing() < before.terms().highestFencing()) {
			throw new IllegalStateException("fencing number decreased from " + before.terms().highestFencing() + " to "
					+ after.terms().highestFencing());
		}
		if (after.held().exists() && after.validUntilNanos() - nowNanos > this.duration.toNanos()) {
			throw new IllegalStateException("lease is valid for longer than its duration " + this.duration);
		}
	}

}
