package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;

import org.mulberrycross.engine.MoveCause;

/**
 * Counters, gauges and latency histograms of a relaying daemon. Thread-safe.
 */
final class RelayMetrics {

	/**
	 * Upper limits of the buckets for real by expected values, with their names.
	 */
	private static final NavigableMap<Double, String> RATIO_BUCKETS = new TreeMap<>(Map.of(0.25, "to_25", 0.5, "to_50",
			0.8, "to_80", 0.95, "to_95", 1.05, "to_105", 1.25, "to_125", 2.0, "to_200", 4.0, "to_400"));

	private static final String HIGHEST_RATIO_BUCKET = "over_400";

	private final MetricRegistry registry;

	private final DefaultSettableGauge<Integer> daemonsCovered = new DefaultSettableGauge<>(1);

	private final DefaultSettableGauge<Long> fleetLoadAgeMillis = new DefaultSettableGauge<>(0L);

	private final DefaultSettableGauge<Integer> cutOff = new DefaultSettableGauge<>(0);

	private final DefaultSettableGauge<Integer> limitedUpstreams = new DefaultSettableGauge<>(0);

	private final DefaultSettableGauge<Integer> limitSlots = new DefaultSettableGauge<>(0);

	RelayMetrics(MetricRegistry registry) {
		this.registry = registry;
		registry.register("fleet_load.daemons_covered", this.daemonsCovered);
		registry.register("fleet_load.age_ms", this.fleetLoadAgeMillis);
		registry.register("siblings.cut_off", this.cutOff);
		registry.register("limits.upstreams", this.limitedUpstreams);
		registry.register("limits.slots_held", this.limitSlots);
	}

	// Records the number of daemons whose load is known, including this one, and the age
	// of the oldest figure of another daemon.
	void updateFleetLoad(int daemons, Duration age) {
		this.daemonsCovered.setValue(daemons);
		this.fleetLoadAgeMillis.setValue(age.toMillis());
	}

	// Records whether requests are passed on to siblings, since no upstream is reached.
	void updateCutOff(boolean isCutOff) {
		this.cutOff.setValue(isCutOff ? 1 : 0);
	}

	// Counts a request that was passed on to a sibling.
	void countRelayedOut() {
		this.registry.counter("siblings.requests_out").inc();
	}

	// Counts a request that a sibling has passed on to this daemon.
	void countRelayedIn() {
		this.registry.counter("siblings.requests_in").inc();
	}

	// Records the number of upstreams that limit their requests.
	void updateLimitedUpstreams(int count) {
		this.limitedUpstreams.setValue(count);
	}

	// Records the number of slots that this daemon holds of all limits together.
	void updateLimitSlots(int held) {
		this.limitSlots.setValue(held);
	}

	// Counts a request that was refused because all its upstreams are at their limits.
	void countLimitRefusal() {
		this.registry.counter("limits.refused").inc();
	}

	// Counts a request that was refused because the queue of the control thread was full.
	void countRefused() {
		this.registry.counter("requests.refused").inc();
	}

	// Counts a request that was refused because it is likely to crash an engine.
	void countSuspected() {
		this.registry.counter("requests.suspected").inc();
	}

	void countRetry() {
		this.registry.counter("requests.sent_again").inc();
	}

	// Counts a stream that was moved before its pause was too long.
	void countMove(MoveCause cause) {
		this.registry.counter("streams.moved." + cause.name().toLowerCase(Locale.ROOT)).inc();
	}

	// Counts moves after which the left path turned out to be sound.
	void countNeedlessMoves(long count) {
		this.registry.counter("streams.moved.needlessly").inc(count);
	}

	// Counts a stream that went on after its path was lost or left.
	void countStreamAfterLoss(boolean late) {
		this.registry.counter("streams.after_loss." + (late ? "late" : "on_time")).inc();
	}

	// Counts a complete attempt by its real output and time relative to the expected
	// ones, in hundredths.
	void recordCalibration(RelayAttempt attempt, OptionalDouble outputRatio, long nowNanos) {
		outputRatio.ifPresent((ratio) -> countRatio("output.real_by_expected.", ratio));
		double millis = (nowNanos - attempt.startedNanos()) / (double) TimeUnit.MILLISECONDS.toNanos(1);
		attempt.expectedMillis()
			.ifPresent((expected) -> countRatio("time.real_by_expected.", millis / Math.max(1, expected)));
	}

	private void countRatio(String prefix, double ratio) {
		Map.Entry<Double, String> bucket = RATIO_BUCKETS.ceilingEntry(ratio);
		this.registry.counter(prefix + ((bucket != null) ? bucket.getValue() : HIGHEST_RATIO_BUCKET)).inc();
	}

	// Changes the number of requests of a priority that wait for room.
	void changeWaiting(int priority, int change) {
		this.registry.counter("waiting.priority_" + rankName(priority)).inc(change);
	}

	// Records how long a request waited before it was sent.
	void recordWait(int priority, Duration wait) {
		this.registry.timer("waited.priority_" + rankName(priority)).update(wait.toNanos(), TimeUnit.NANOSECONDS);
	}

	// Counts a request that was refused because no upstream has room for it.
	void countRefusal(String reason, int priority) {
		this.registry.counter("refused." + reason.replace(' ', '_') + ".priority_" + rankName(priority)).inc();
	}

	private static int rankName(int priority) {
		return Math.max(0, Math.min(WaitingRequests.PRIORITIES - 1, priority));
	}

	// Records the duration of a request. The outcome up to its first colon becomes the
	// name of the metric.
	void recordEnd(String outcome, Duration duration) {
		int colon = outcome.indexOf(':');
		String outcomeName = ((colon < 0) ? outcome : outcome.substring(0, colon)).replace(' ', '_');
		this.registry.timer("requests." + outcomeName).update(duration.toNanos(), TimeUnit.NANOSECONDS);
	}

}
