package org.mulberrycross.router.relay;

import java.util.Objects;

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
