package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passive health checks: ejects an upstream that fails requests, with a duration that
 * doubles at each consecutive failure. Ejected upstreams are used only if no other is
 * eligible. An upstream that asks for a rest gets none until its end. Confined to the
 * control thread; not thread-safe.
 */
final class UpstreamHealth {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamHealth.class);

	/**
	 * First ejection after a failure; roughly the interval between requests from one
	 * daemon to each instance of a small service.
	 */
	private static final Duration INITIAL_EJECTION = Duration.ofMillis(1000);

	/** Maximum ejection, so that a recovered upstream is soon used again. */
	private static final Duration MAX_EJECTION = Duration.ofSeconds(4);

	/**
	 * First ejection of a saturated upstream; some of its requests end within this time.
	 */
	private static final Duration INITIAL_SATURATION_EJECTION = Duration.ofMillis(250);

	private final Map<String, Ejection> ejections = new HashMap<>();

	/** The monotonic time in nanoseconds until which an upstream asks for no requests. */
	private final Map<String, Long> restEndNanos = new HashMap<>();

	void recordFailure(String id, String reason, long nowNanos) {
		recordFailure(id, reason, Cause.FAILURE, nowNanos);
	}

	// Ejects an upstream whose streams are silent, until an event passes it again.
	void recordSilence(String id, long nowNanos) {
		recordFailure(id, "its streams are silent", Cause.SILENCE, nowNanos);
	}

	// Ends the ejection of an upstream that was ejected for its silence only.
	void endSilence(String id) {
		this.ejections.computeIfPresent(id, (key, ejection) -> (ejection.cause() == Cause.SILENCE) ? null : ejection);
	}

	private void recordFailure(String id, String reason, Cause cause, long nowNanos) {
		Ejection previous = this.ejections.getOrDefault(id, new Ejection(nowNanos, Duration.ZERO, cause));
		if (nowNanos < previous.untilNanos()) {
			return;
		}
		Duration duration = nextDuration(previous.duration(), INITIAL_EJECTION);
		this.ejections.put(id, new Ejection(nowNanos + duration.toNanos(), duration, cause));
		logger.atInfo()
			.addKeyValue("upstream", id)
			.addKeyValue("reason", reason)
			.addKeyValue("for_ms", duration.toMillis())
			.log("upstream ejected after a failure");
	}

	// Ejects a stalled upstream, for the maximum duration at once.
	void recordStall(String id, long nowNanos) {
		this.ejections.put(id, new Ejection(nowNanos + MAX_EJECTION.toNanos(), MAX_EJECTION, Cause.STALL));
		logger.atInfo()
			.addKeyValue("upstream", id)
			.addKeyValue("for_ms", MAX_EJECTION.toMillis())
			.log("upstream ejected because it is stalled");
	}

	// Ejects a saturated upstream. The engines before a dead engine report it as
	// saturated too, so the duration doubles until a request succeeds.
	void recordSaturation(String id, long nowNanos) {
		if (isEjected(id, nowNanos)) {
			return;
		}
		Duration previous = Optional.ofNullable(this.ejections.get(id)).map(Ejection::duration).orElse(Duration.ZERO);
		Duration duration = nextDuration(previous, INITIAL_SATURATION_EJECTION);
		this.ejections.put(id, new Ejection(nowNanos + duration.toNanos(), duration, Cause.SATURATION));
		logger.atInfo()
			.addKeyValue("upstream", id)
			.addKeyValue("for_ms", duration.toMillis())
			.log("upstream ejected because it is saturated");
	}

	// Returns twice the previous duration, limited to [initial, MAX_EJECTION].
	private static Duration nextDuration(Duration previous, Duration initial) {
		Duration doubled = previous.multipliedBy(2);
		if (doubled.compareTo(initial) < 0) {
			return initial;
		}
		return (doubled.compareTo(MAX_EJECTION) < 0) ? doubled : MAX_EJECTION;
	}

	// Records that an upstream asks for no requests. Its latest answer counts.
	void recordRest(String id, Duration rest, long receivedNanos) {
		this.restEndNanos.values().removeIf((endNanos) -> endNanos - receivedNanos <= 0);
		this.restEndNanos.put(id, receivedNanos + rest.toNanos());
		logger.atInfo()
			.addKeyValue("upstream", id)
			.addKeyValue("for_ms", rest.toMillis())
			.log("upstream asked for no requests");
	}

	// Returns how long an upstream still asks for no requests, empty if it does not.
	Optional<Duration> untilRestEnds(String id, long nowNanos) {
		Long endNanos = this.restEndNanos.get(id);
		return (endNanos != null && endNanos - nowNanos > 0) ? Optional.of(Duration.ofNanos(endNanos - nowNanos))
				: Optional.empty();
	}

	// Ends the ejections after failures, which tell nothing of the upstreams if this
	// daemon reached none of them.
	void forgetFailures() {
		this.ejections.values().removeIf((ejection) -> ejection.cause() == Cause.FAILURE);
	}

	void recordSuccess(String id) {
		this.ejections.remove(id);
	}

	boolean isEjected(String id, long nowNanos) {
		Ejection ejection = this.ejections.get(id);
		return ejection != null && nowNanos < ejection.untilNanos();
	}

	// Returns whether an upstream is ejected because it was reported as stalled.
	boolean isStalled(String id, long nowNanos) {
		return isEjected(id, nowNanos) && this.ejections.get(id).cause() == Cause.STALL;
	}

	// Returns whether an upstream is ejected because it had no room for a request.
	boolean isSaturated(String id, long nowNanos) {
		return isEjected(id, nowNanos) && this.ejections.get(id).cause() == Cause.SATURATION;
	}

	/**
	 * A time during which an upstream gets no requests unless no other is eligible. Kept
	 * after its end, so that the next one can be longer.
	 */
	private record Ejection(long untilNanos, Duration duration, Cause cause) {

	}

	/** Why an upstream is ejected. */
	private enum Cause {

		/** It failed a request. */
		FAILURE,

		/** Its streams are silent. */
		SILENCE,

		/** It reported that its work is stalled. */
		STALL,

		/** It turned a request away for want of room. */
		SATURATION

	}

}
