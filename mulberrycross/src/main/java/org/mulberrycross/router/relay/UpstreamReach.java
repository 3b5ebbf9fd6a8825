package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/**
 * Tells from the connections that requests open whether this daemon still reaches its
 * upstreams. New connections count only, since open ones may go on while new ones are
 * refused. Written by the control thread; {@link #isLost()} may be called on any thread.
 */
final class UpstreamReach {

	/**
	 * Number of connections that must be refused, without any that is accepted in
	 * between, before the reach counts as lost. Single upstreams may be down.
	 */
	private static final int MIN_FAILURES = 3;

	/**
	 * Time over which they must be refused if it is by fewer upstreams than that: all
	 * requests of a daemon may go to one upstream, which restarts within this time.
	 */
	private static final Duration MIN_FAILURE_TIME = Duration.ofMillis(500);

	/** Time for which a refused connection counts. */
	private static final Duration FAILURE_LIFETIME = Duration.ofSeconds(3);

	/**
	 * Number of connections, one after the other, that are accepted before the reach
	 * counts as restored.
	 */
	private static final int MIN_ACCEPTED = 2;

	/** Time between two attempts to open a connection while the reach is lost. */
	private static final Duration TRIAL_PERIOD = Duration.ofMillis(500);

	private final Deque<Failure> failures = new ArrayDeque<>();

	private int accepted;

	private OptionalLong lastTrialNanos = OptionalLong.empty();

	private volatile boolean lost;

	/** Whether an accepted connection would change anything. */
	private volatile boolean watching;

	// Returns whether no upstream accepts connections of this daemon.
	boolean isLost() {
		return this.lost;
	}

	// Returns whether accepted connections are to be recorded. May be called on any
	// thread.
	boolean isWatching() {
		return this.watching;
	}

	// Records that an upstream has accepted a connection. Returns whether the reach is
	// restored by it.
	boolean recordAccepted() {
		this.failures.clear();
		this.accepted++;
		if (this.lost && this.accepted < MIN_ACCEPTED) {
			this.lastTrialNanos = OptionalLong.empty();
			return false;
		}
		boolean restored = this.lost;
		this.lost = false;
		this.watching = false;
		return restored;
	}

	// Records that an upstream has not accepted a connection. Returns whether the reach
	// is lost by it.
	boolean recordFailure(String id, long nowNanos) {
		this.accepted = 0;
		this.watching = true;
		this.failures.removeIf((failure) -> nowNanos - failure.nanos() > FAILURE_LIFETIME.toNanos());
		this.failures.add(new Failure(id, nowNanos));
		if (this.lost || this.failures.size() < MIN_FAILURES) {
			return false;
		}
		long upstreams = this.failures.stream().map(Failure::id).distinct().count();
		if (upstreams < MIN_FAILURES && nowNanos - this.failures.getFirst().nanos() < MIN_FAILURE_TIME.toNanos()) {
			return false;
		}
		this.lost = true;
		this.lastTrialNanos = OptionalLong.of(nowNanos);
		return true;
	}

	// Returns whether the next request is to try whether the reach is restored. Returns
	// true once in a while only.
	boolean takeTrial(long nowNanos) {
		boolean due = this.lastTrialNanos.isEmpty()
				|| nowNanos - this.lastTrialNanos.getAsLong() >= TRIAL_PERIOD.toNanos();
		if (due) {
			this.lastTrialNanos = OptionalLong.of(nowNanos);
		}
		return due;
	}

	/** A connection that an upstream has not accepted. */
	private record Failure(String id, long nanos) {

	}

}
