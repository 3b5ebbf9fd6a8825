package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

import org.mulberrycross.engine.RateLimit;
import org.mulberrycross.sibling.LimitShares;

/**
 * The use that this daemon makes of the limit of one upstream. It holds a share of the
 * limit's slots, each of which a request occupies for the window of the limit. While no
 * owner counts this daemon, it uses its own part of the limit instead: that limit divided
 * by the number of daemons. A daemon that is counted but gets no slot for long sends a
 * single request now and then, so that it learns when the limit is over. Confined to the
 * control thread; not thread-safe.
 */
final class LimitedUpstream {

	/**
	 * Requests of a daemon's own part to each one that it sends without a slot while an
	 * owner counts it.
	 */
	private static final int PARTS_PER_PROBE = 4;

	/** Minimum time between such requests. */
	private static final Duration MIN_PROBE_INTERVAL = Duration.ofSeconds(10);

	/**
	 * Maximum time for which a turn of this daemon's own part may be used. Turns that
	 * could be saved up would be used by all daemons at once when requests return.
	 */
	private static final Duration MAX_TURN_TIME = Duration.ofMillis(500);

	/** Time until the first reply of an owner. */
	private static final Duration FIRST_REPLY_TIME = Duration.ofMillis(200);

	private static final double NANOS_PER_SECOND = 1e9;

	private final String service;

	private final LimitKey key;

	private final String name;

	private final int slots;

	private final long windowNanos;

	private final Optional<LimitShares> shares;

	/** When the slots in use come free, in order. */
	private final Deque<Long> slotEndNanos = new ArrayDeque<>();

	private final RandomGenerator random;

	private final long namedNanos;

	/** The next turn of this daemon's own part, empty while it holds slots. */
	private OptionalLong turnNanos = OptionalLong.empty();

	/** The time between two turns, in nanoseconds. */
	private long turnInterval;

	private long sent;

	LimitedUpstream(String service, LimitKey key, Optional<LimitShares> shares, RandomGenerator random, long nowNanos) {
		RateLimit limit = key.limit();
		this.service = service;
		this.key = key;
		this.name = key.text();
		this.slots = limit.slots();
		this.windowNanos = limit.window().toNanos();
		this.shares = shares;
		this.random = random;
		this.namedNanos = nowNanos;
		shares.ifPresent((held) -> held.open(this.name));
	}

	String service() {
		return this.service;
	}

	LimitKey key() {
		return this.key;
	}

	// Returns whether a request may be sent now.
	boolean hasRoom(int daemonCount, long nowNanos) {
		return hasFreeSlot(nowNanos) || untilOwnPart(daemonCount, nowNanos) <= 0;
	}

	private boolean hasFreeSlot(long nowNanos) {
		return this.shares.map((held) -> held.hasFreeSlot(this.name, this.slots, nowNanos)).orElse(false);
	}

	// Returns the time until the next turn of this daemon's own part, 0 or less while it
	// may be used. A turn that is not used in time lapses.
	private long untilOwnPart(int daemonCount, long nowNanos) {
		if (heldSlots(nowNanos) > 0) {
			this.turnNanos = OptionalLong.empty();
			return Long.MAX_VALUE;
		}
		long interval = turnInterval(daemonCount, nowNanos);
		if (this.turnNanos.isEmpty() || interval != this.turnInterval) {
			// Daemons learn of a limit, or lose their slots, at about the same time.
			this.turnInterval = interval;
			this.turnNanos = OptionalLong.of(nowNanos + (long) (this.random.nextDouble() * interval));
		}
		long lapsedNanos = nowNanos - this.turnNanos.getAsLong() - Math.min(MAX_TURN_TIME.toNanos(), interval);
		if (lapsedNanos >= 0) {
			this.turnNanos = OptionalLong.of(this.turnNanos.getAsLong() + (lapsedNanos / interval + 1) * interval);
		}
		return this.turnNanos.getAsLong() - nowNanos;
	}

	private long turnInterval(int daemonCount, long nowNanos) {
		double interval = ownInterval(daemonCount);
		return (long) (isReported(nowNanos) ? Math.max(MIN_PROBE_INTERVAL.toNanos(), interval * PARTS_PER_PROBE)
				: interval);
	}

	// Returns the time between two requests of one daemon if the limit is divided
	// equally.
	private double ownInterval(int daemonCount) {
		return Math.max(1, daemonCount) / this.key.limit().requestsPerSecond() * NANOS_PER_SECOND;
	}

	private boolean isReported(long nowNanos) {
		return this.shares.map((held) -> held.isReported(this.name, nowNanos)).orElse(false);
	}

	// Records a request that was sent, within the share if it has a free slot and as a
	// turn of the own part otherwise.
	void recordSent(int daemonCount, long nowNanos) {
		this.sent++;
		if (this.shares.map((held) -> held.tryAcquire(this.name, this.slots, nowNanos)).orElse(false)) {
			this.slotEndNanos.add(nowNanos + this.windowNanos);
			return;
		}
		this.turnInterval = turnInterval(daemonCount, nowNanos);
		this.turnNanos = OptionalLong.of(nowNanos + this.turnInterval);
	}

	// Records that a request could use this upstream, which makes the share grow.
	void recordDemand(long nowNanos) {
		if (!hasFreeSlot(nowNanos)) {
			this.shares.ifPresent((held) -> held.recordUnmetDemand(this.name, this.slots, nowNanos));
		}
	}

	// Returns the time until a slot of this daemon comes free, or until its turn to get
	// one among all daemons.
	Duration untilRoom(int daemonCount, long nowNanos) {
		if (heldSlots(nowNanos) > 0 && !this.slotEndNanos.isEmpty()) {
			return Duration.ofNanos(Math.max(0, this.slotEndNanos.peek() - nowNanos));
		}
		long ownPart = Math.max(0, untilOwnPart(daemonCount, nowNanos));
		boolean replyDue = nowNanos - this.namedNanos < LimitShares.LEASE.toNanos();
		if (this.shares.isPresent() && !isReported(nowNanos) && replyDue) {
			return Duration.ofNanos(Math.min(ownPart, FIRST_REPLY_TIME.toNanos()));
		}
		return Duration.ofNanos(Math.min(ownPart, (long) ownInterval(daemonCount)));
	}

	// Returns the rate at which this daemon may send at present.
	double requestsPerSecond(int daemonCount, long nowNanos) {
		return Math.max(heldSlots(nowNanos) * NANOS_PER_SECOND / this.windowNanos,
				this.key.limit().requestsPerSecond() / Math.max(1, daemonCount));
	}

	int heldSlots(long nowNanos) {
		return this.shares.map((held) -> held.heldSlots(this.name, nowNanos)).orElse(0);
	}

	void releaseSlots(long nowNanos) {
		while (!this.slotEndNanos.isEmpty() && this.slotEndNanos.peek() - nowNanos <= 0) {
			this.slotEndNanos.remove();
			this.shares.ifPresent((held) -> held.release(this.name, nowNanos));
		}
	}

	// Returns the number of requests sent since the last call.
	long takeSent() {
		long taken = this.sent;
		this.sent = 0;
		return taken;
	}

	// Gives the share back.
	void close() {
		this.shares.ifPresent((held) -> {
			this.slotEndNanos.forEach((end) -> held.release(this.name, 0));
			this.slotEndNanos.clear();
			held.close(this.name);
		});
	}

}
