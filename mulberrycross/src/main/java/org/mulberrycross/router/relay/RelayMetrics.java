package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;

/**
 * Counters and latency histograms of a relaying daemon. Thread-safe.
 */
final class RelayMetrics {

	private final MetricRegistry registry;

	RelayMetrics(MetricRegistry registry) {
		this.registry = registry;
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
