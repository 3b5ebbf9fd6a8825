package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;

import org.mulberrycross.engine.MoveCause;

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

	// Records the duration of a request. The outcome up to its first colon becomes the
	// name of the metric.
	void recordEnd(String outcome, Duration duration) {
		int colon = outcome.indexOf(':');
		String outcomeName = ((colon < 0) ? outcome : outcome.substring(0, colon)).replace(' ', '_');
		this.registry.timer("requests." + outcomeName).update(duration.toNanos(), TimeUnit.NANOSECONDS);
	}

}
