package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
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

	/** Longest time between such requests. */
	private static final Duration MIN_PROBE_INTERVAL = Duration.ofSeconds(10);

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

	/**
	 * When a request was last sent. Before the first one, a random part of the interval
	 * ago, since daemons learn of a limit at about the same time.
	 */
	private long lastSentNanos;

	private final double phase;

	private boolean sentBefore;

	private long sent;

	LimitedUpstream(String service, LimitKey key, Optional<LimitShares> shares, RandomGenerator random, long nowNanos) {
		RateLimit limit = key.limit();
		this.service = service;
		this.key = key;
		this.name = key.text();
		this.slots = limit.slots();
		this.windowNanos = limit.window().toNanos();
		this.shares = shares;
		this.phase = random.nextDouble();
		this.lastSentNanos = nowNanos;
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

	private long untilOwnPart(int daemonCount, long nowNanos) {
		double interval = Math.max(1, daemonCount) / this.key.limit().requestsPerSecond() * NANOS_PER_SECOND;
		if (heldSlots(nowNanos) > 0) {
			return Long.MAX_VALUE;
		}
		if (this.shares.map((held) -> held.isReported(this.name, nowNanos)).orElse(false)) {
			interval = Math.max(MIN_PROBE_INTERVAL.toNanos(), interval * PARTS_PER_PROBE);
		}
		double factor = this.sentBefore ? 1 : this.phase;
		return this.lastSentNanos + (long) (interval * factor) - nowNanos;
	}

	// Records a request that was sent, within the share if it has a free slot.
	void recordSent(long nowNanos) {
		this.sent++;
		this.sentBefore = true;
		this.lastSentNanos = nowNanos;
		if (this.shares.map((held) -> held.tryAcquire(this.name, this.slots, nowNanos)).orElse(false)) {
			this.slotEndNanos.add(nowNanos + this.windowNanos);
		}
	}

	// Records that a request could use this upstream, which makes the share grow.
	void recordDemand(int daemonCount, long nowNanos) {
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
		boolean reported = this.shares.map((held) -> held.isReported(this.name, nowNanos)).orElse(false);
		if (this.shares.isPresent() && !reported) {
			return Duration.ofNanos(Math.min(ownPart, FIRST_REPLY_TIME.toNanos()));
		}
		double turn = Math.max(1, daemonCount) / this.key.limit().requestsPerSecond() * NANOS_PER_SECOND;
		return Duration.ofNanos(Math.min(ownPart, (long) turn));
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
