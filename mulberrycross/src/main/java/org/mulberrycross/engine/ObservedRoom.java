package org.mulberrycross.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Corrects the estimated work at engines that turned a request away for want of room:
 * they are taken as full for a moment, and what the estimate lacked fades after it. Small
 * requests and lightly used paths so return first, and nothing is learned about other
 * engines. Confined to the control thread; not thread-safe.
 */
public final class ObservedRoom {

	/**
	 * First time for which an engine is taken as full; some of its requests end in it.
	 */
	private static final Duration INITIAL_HOLD = Duration.ofMillis(250);

	/** Maximum time for which an engine is taken as full. */
	private static final Duration MAX_HOLD = Duration.ofSeconds(4);

	/** Time in which the correction fades, as a multiple of the hold. */
	private static final int FADE_MULTIPLE = 2;

	/** Age of a rejection from which the next one has the first hold. */
	private static final Duration MEMORY = Duration.ofSeconds(15);

	private final Map<String, Rejection> rejections = new HashMap<>();

	/**
	 * Records that an engine had no room. The hold doubles until a request succeeds,
	 * since an engine that gives up its layers looks the same. Rejections of requests
	 * that were sent before an earlier one was known don't count.
	 * @param engineId the id of the engine, not null
	 * @param capacityTokens the tokens that the engine can hold
	 * @param estimatedTokens the tokens that it was expected to hold
	 * @param nowNanos the time on the daemon's monotonic clock
	 */
	public void recordRejected(String engineId, double capacityTokens, double estimatedTokens, long nowNanos) {
		this.rejections.values().removeIf((old) -> nowNanos - old.atNanos() > MEMORY.toNanos());
		Rejection previous = this.rejections.get(engineId);
		if (previous != null && nowNanos - previous.atNanos() < previous.hold().toNanos()) {
			return;
		}
		Duration doubled = (previous != null) ? previous.hold().multipliedBy(2) : INITIAL_HOLD;
		Duration hold = (doubled.compareTo(MAX_HOLD) < 0) ? doubled : MAX_HOLD;
		this.rejections.put(engineId, new Rejection(nowNanos, hold, Math.max(0, capacityTokens - estimatedTokens)));
	}

	/**
	 * Records that a request succeeded, so that a later rejection has the first hold. The
	 * correction goes on: others may have filled the engine.
	 * @param engineId the id of the engine, not null
	 * @param nowNanos the time on the daemon's monotonic clock
	 */
	public void recordSuccess(String engineId, long nowNanos) {
		Rejection rejection = this.rejections.get(engineId);
		if (rejection != null && unexpectedTokens(engineId, nowNanos) <= 0) {
			this.rejections.remove(engineId);
		}
	}

	/**
	 * Returns the tokens that an engine holds beyond the estimate.
	 * @param engineId the id of the engine, not null
	 * @param nowNanos the time on the daemon's monotonic clock
	 * @return the tokens, 0 if the engine has not rejected a request lately
	 */
	public double unexpectedTokens(String engineId, long nowNanos) {
		Rejection rejection = this.rejections.get(engineId);
		if (rejection == null) {
			return 0;
		}
		double holds = (nowNanos - rejection.atNanos()) / (double) rejection.hold().toNanos();
		double faded = Math.max(0, holds - 1) / FADE_MULTIPLE;
		return rejection.unexpectedTokens() * Math.max(0, 1 - faded);
	}

	/**
	 * The last rejection of an engine.
	 *
	 * @param atNanos the time of the rejection
	 * @param hold the time for which the engine is taken as full
	 * @param unexpectedTokens the tokens that the estimate lacked
	 */
	private record Rejection(long atNanos, Duration hold, double unexpectedTokens) {

	}

}
