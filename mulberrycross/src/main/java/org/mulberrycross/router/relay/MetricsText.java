package org.mulberrycross.router.relay;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;

/**
 * Formats metrics as text, one value per line. Thread-safe.
 */
final class MetricsText {

	private static final double NANOS_PER_MILLI = 1e6;

	private MetricsText() {
	}

	static String format(MetricRegistry registry) {
		StringBuilder text = new StringBuilder();
		registry.getCounters().forEach((name, counter) -> appendLine(text, name, counter.getCount()));
		registry.getGauges().forEach((name, gauge) -> appendLine(text, name, gauge.getValue()));
		registry.getTimers().forEach((name, timer) -> {
			Snapshot snapshot = timer.getSnapshot();
			appendLine(text, name + ".count", timer.getCount());
			appendLine(text, name + ".p50_ms", snapshot.getMedian() / NANOS_PER_MILLI);
			appendLine(text, name + ".p95_ms", snapshot.get95thPercentile() / NANOS_PER_MILLI);
			appendLine(text, name + ".p99_ms", snapshot.get99thPercentile() / NANOS_PER_MILLI);
		});
		return text.toString();
	}

	private static void appendLine(StringBuilder text, String name, Object value) {
		text.append(name).append(' ').append(value).append('\n');
	}

}
