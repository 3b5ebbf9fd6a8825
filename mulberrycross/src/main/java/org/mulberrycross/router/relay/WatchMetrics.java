package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/**
 * Counts the watches of one kind of objects by who answered them. Thread-safe.
 */
final class WatchMetrics {

	private final Counter storeWatches;

	/** The age of the confirmation when a sibling had answered. */
	private final Timer siblingWatches;

	/** How often the store came back from an older copy. */
	private final Counter eras;

	WatchMetrics(MetricRegistry registry, String kind) {
		this.storeWatches = registry.counter("watches." + kind + ".store");
		this.eras = registry.counter("watches." + kind + ".eras");
		this.siblingWatches = registry.timer("watches." + kind + ".sibling");
	}

	void countEra() {
		this.eras.inc();
	}

	void countStoreWatch() {
		this.storeWatches.inc();
	}

	void countSiblingWatch(Duration confirmationAge) {
		this.siblingWatches.update(confirmationAge.toNanos(), TimeUnit.NANOSECONDS);
	}

}
