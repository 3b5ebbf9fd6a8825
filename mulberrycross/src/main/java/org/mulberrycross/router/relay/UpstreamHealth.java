package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the outcomes of requests say of upstreams. An upstream that fails is avoided for a
 * while, twice as long with each failure in a row, and is then tried again. Owned by the
 * control thread; not thread-safe.
 */
final class UpstreamHealth {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamHealth.class);

	/**
	 * First time of avoidance: about a round of requests of one daemon to a small
	 * service.
	 */
	private static final Duration FIRST_AVOIDANCE = Duration.ofMillis(1000);

	/** Longest time of avoidance; an upstream that recovers is in use again after it. */
	private static final Duration LONGEST_AVOIDANCE = Duration.ofSeconds(4);

	/** First time for which a full upstream is avoided; some requests end within it. */
	private static final Duration FULL_AVOIDANCE = Duration.ofMillis(250);

	private final Map<String, Avoidance> avoided = new HashMap<>();

	void failed(String id, String reason, long nowNanos) {
		Avoidance before = this.avoided.getOrDefault(id, new Avoidance(nowNanos, Duration.ZERO, false));
		if (nowNanos < before.untilNanos()) {
			return;
		}
		Duration time = longer(before.length(), FIRST_AVOIDANCE);
		this.avoided.put(id, new Avoidance(nowNanos + time.toNanos(), time, false));
		logger.atInfo()
			.addKeyValue("upstream", id)
			.addKeyValue("reason", reason)
			.addKeyValue("for_ms", time.toMillis())
			.log("upstream avoided");
	}

	// Notes that requests wait for an upstream in vain, so that it gets none for the
	// longest time.
	void stalled(String id, long nowNanos) {
		this.avoided.put(id, new Avoidance(nowNanos + LONGEST_AVOIDANCE.toNanos(), LONGEST_AVOIDANCE, true));
		logger.atInfo()
			.addKeyValue("upstream", id)
			.addKeyValue("for_ms", LONGEST_AVOIDANCE.toMillis())
			.log("upstream stalled");
	}

	// Notes that an upstream has no room now. One that is dead is rejected alike by the
	// engines before it, so that the time grows until a request succeeds.
	void full(String id, long nowNanos) {
		if (avoided(id, nowNanos)) {
			return;
		}
		Duration before = Optional.ofNullable(this.avoided.get(id)).map(Avoidance::length).orElse(Duration.ZERO);
		Duration time = longer(before, FULL_AVOIDANCE);
		this.avoided.put(id, new Avoidance(nowNanos + time.toNanos(), time, false));
		logger.atInfo().addKeyValue("upstream", id).addKeyValue("for_ms", time.toMillis()).log("upstream full");
	}

	// Returns twice the time before, but no less than the first time.
	private static Duration longer(Duration before, Duration first) {
		Duration twice = before.multipliedBy(2);
		if (twice.compareTo(first) < 0) {
			return first;
		}
		return (twice.compareTo(LONGEST_AVOIDANCE) < 0) ? twice : LONGEST_AVOIDANCE;
	}

	void succeeded(String id) {
		this.avoided.remove(id);
	}

	boolean avoided(String id, long nowNanos) {
		Avoidance avoidance = this.avoided.get(id);
		return avoidance != null && nowNanos < avoidance.untilNanos();
	}

	// Returns whether requests wait for an upstream in vain, as far as is known.
	boolean stalledNow(String id, long nowNanos) {
		return avoided(id, nowNanos) && this.avoided.get(id).stalled();
	}

	/**
	 * A time in which an upstream gets no requests, unless there is no other one and it
	 * is not stalled.
	 */
	private record Avoidance(long untilNanos, Duration length, boolean stalled) {

	}

}
