package org.mulberrycross.engine;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.mulberrycross.Transition;

/**
 * Decides how a daemon acquires and keeps the lease of an engine or group of engines. At
 * most one daemon holds a valid lease at any time, as long as the clocks of two daemons
 * differ in rate by no more than the margin:
 * <ul>
 * <li>a holder counts its validity from a time before its write was sent;
 * <li>another daemon waits the whole time of the stored lease, and the margin, from when
 * it first saw the record in its unchanged state, and replaces exactly that version;
 * <li>each term has a higher fencing number than the one before, also if the same daemon
 * holds the lease again after it expired;
 * <li>a write whose answer was lost is settled by reading the record back and comparing
 * its token. A write that takes effect only after that is treated like the record of
 * another daemon.
 * </ul>
 * Immutable and thread-safe.
 */
public final class OrderLease {

	/**
	 * Margin for clocks that run at different rates. Clocks that are disciplined by NTP
	 * differ by at most 0.1 %; ten times that costs little waiting.
	 */
	public static final double CLOCK_RATE_MARGIN = 0.01;

	/** A renewal after a third of the validity leaves time for two more tries. */
	private static final int RENEWALS_PER_LEASE = 3;

	private final String holder;

	private final Duration duration;

	/**
	 * Creates a lease.
	 * @param holder the name of this daemon, not null
	 * @param duration the validity of the lease after each write, positive
	 */
	public OrderLease(String holder, Duration duration) {
		this.holder = Objects.requireNonNull(holder, "holder");
		if (duration.toMillis() < 1) {
			throw new IllegalArgumentException("duration " + duration + " is not positive");
		}
		this.duration = Duration.ofMillis(duration.toMillis());
	}

	/**
	 * Takes an event. A tick in a phase that awaits a result changes nothing.
	 * @param state the state, not null
	 * @param event a tick or the result of the last action, not null
	 * @param nowNanos the daemon's monotonic clock, read before the action is done
	 * @return the next state and at most one action
	 * @throws IllegalStateException if the event does not belong to the phase, or an
	 * invariant is broken
	 */
	public Transition<LeaseState, LeaseAction> next(LeaseState state, LeaseEvent event, long nowNanos) {
		Transition<LeaseState, LeaseAction> step = step(state, event, nowNanos);
		check(state, step.state(), nowNanos);
		return step;
	}

	private Transition<LeaseState, LeaseAction> step(LeaseState state, LeaseEvent event, long nowNanos) {
		if (event instanceof LeaseEvent.Tick tick) {
			return (state.phase() == LeaseState.Phase.IDLE) ? tick(state.withToken(tick.token()), nowNanos)
					: Transition.to(state);
		}
		if (state.phase() == LeaseState.Phase.READING && event instanceof LeaseEvent.Found found) {
			return found(state.in(LeaseState.Phase.IDLE), found.stored().orElse(StoredLease.NONE), nowNanos);
		}
		if (state.phase() == LeaseState.Phase.READING && event instanceof LeaseEvent.Unavailable) {
			return Transition.to(state.in(LeaseState.Phase.IDLE));
		}
		if (state.phase() != LeaseState.Phase.WRITING || event instanceof LeaseEvent.Found) {
			throw new IllegalStateException("event " + event + " does not belong to phase " + state.phase());
		}
		if (event instanceof LeaseEvent.Written written) {
			return Transition.to(own(state, new StoredLease(written.version(), state.pending()), nowNanos));
		}
		if (event instanceof LeaseEvent.WriteLost) {
			return Transition.to(state.in(LeaseState.Phase.IDLE));
		}
		if (event instanceof LeaseEvent.Refused) {
			return read(state.withoutPending().withoutHeld());
		}
		return Transition.to(state.withoutPending());
	}

	private Transition<LeaseState, LeaseAction> tick(LeaseState state, long nowNanos) {
		if (state.unsettled()) {
			return read(state);
		}
		if (state.held().exists()) {
			long remaining = state.validUntilNanos() - nowNanos;
			if (remaining <= 0) {
				return write(state, state.held(), nowNanos, state.held().lease().fencing() + 1);
			}
			boolean due = remaining <= this.duration.toNanos() / RENEWALS_PER_LEASE * (RENEWALS_PER_LEASE - 1);
			return due ? write(state, state.held(), nowNanos, state.held().lease().fencing()) : Transition.to(state);
		}
		return mayTake(state, nowNanos) ? read(state) : Transition.to(state);
	}

	private Transition<LeaseState, LeaseAction> found(LeaseState state, StoredLease stored, long nowNanos) {
		if (state.unsettled() && stored.lease().token().equals(state.pending().token())) {
			return Transition.to(own(state, stored, nowNanos));
		}
		LeaseState settled = state.withoutPending();
		if (settled.held().exists() && stored.version() == settled.held().version()) {
			return Transition.to(settled);
		}
		LeaseState seen = settled.withoutHeld().seeing(stored, nowNanos);
		return mayTake(seen, nowNanos) ? write(seen, stored, nowNanos, stored.lease().fencing() + 1)
				: Transition.to(seen);
	}

	private static boolean mayTake(LeaseState state, long nowNanos) {
		long leaseNanos = Duration.ofMillis(state.seen().lease().durationMillis()).toNanos();
		long waitNanos = (long) Math.ceil(leaseNanos * (1 + CLOCK_RATE_MARGIN));
		return !state.seen().exists() || nowNanos - state.seenNanos() >= waitNanos;
	}

	private LeaseState own(LeaseState state, StoredLease stored, long nowNanos) {
		return state.holding(stored, state.sentNanos() + this.duration.toNanos(), nowNanos);
	}

	private Transition<LeaseState, LeaseAction> read(LeaseState state) {
		return new Transition<>(state.in(LeaseState.Phase.READING), List.of(new LeaseAction.Read()));
	}

	private Transition<LeaseState, LeaseAction> write(LeaseState state, StoredLease expected, long nowNanos,
			long fencing) {
		LeaseRecord lease = new LeaseRecord(this.holder, fencing, state.token(), this.duration.toMillis());
		return new Transition<>(state.writing(lease, nowNanos),
				List.of(new LeaseAction.Write(lease, expected.version())));
	}

	private void check(LeaseState before, LeaseState after, long nowNanos) {
		if (after.seen().lease().fencing() < before.seen().lease().fencing()) {
			throw new IllegalStateException("fencing number fell from " + before.seen().lease().fencing() + " to "
					+ after.seen().lease().fencing());
		}
		if (after.held().exists() && after.validUntilNanos() - nowNanos > this.duration.toNanos()) {
			throw new IllegalStateException("lease is valid for longer than " + this.duration);
		}
	}

}
