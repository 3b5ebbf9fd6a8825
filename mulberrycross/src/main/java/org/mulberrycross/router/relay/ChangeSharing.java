package org.mulberrycross.router.relay;

import java.util.Objects;

import com.codahale.metrics.MetricRegistry;

import org.mulberrycross.MonotonicClock;

/**
 * How the watcher of one kind of objects shares what it reads with siblings. Thread-safe.
 *
 * @param siblingWatch asked for changes before the store, not null
 * @param feed passes on what the watcher reads from the store, not null
 * @param metrics counts the watches, not null
 */
record ChangeSharing(SiblingWatch siblingWatch, ChangeFeed feed, WatchMetrics metrics) {

	ChangeSharing {
		Objects.requireNonNull(siblingWatch, "siblingWatch");
		Objects.requireNonNull(feed, "feed");
		Objects.requireNonNull(metrics, "metrics");
	}

	// Returns the sharing of a watcher that always asks the store.
	static ChangeSharing none(String kind, MetricRegistry registry, MonotonicClock clock) {
		return new ChangeSharing(SiblingWatch.NONE, new ChangeFeed(clock), new WatchMetrics(registry, kind));
	}

	// Returns the number of daemons of a fleet that call the store, if each of those that
	// do is followed by as many as this one.
	int callerCount(int daemonCount) {
		int groupSize = 1 + this.feed.followerCount();
		return (daemonCount + groupSize - 1) / groupSize;
	}

	// Returns the timing of the watcher, which is shorter while siblings wait for it.
	WatchTiming adapt(WatchTiming timing) {
		return (this.feed.followerCount() > 0) ? timing.forFollowedDaemon() : timing;
	}

}
