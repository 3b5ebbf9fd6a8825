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

	void refused() {
		this.registry.counter("requests.refused").inc();
	}

	void retried() {
		this.registry.counter("requests.sent_again").inc();
	}

	void ended(String outcome, Duration time) {
		int colon = outcome.indexOf(':');
		String kind = ((colon < 0) ? outcome : outcome.substring(0, colon)).replace(' ', '_');
		this.registry.timer("requests." + kind).update(time.toNanos(), TimeUnit.NANOSECONDS);
	}

}
