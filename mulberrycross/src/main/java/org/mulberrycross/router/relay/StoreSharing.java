package org.mulberrycross.router.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.sibling.ChangeSource;
import org.mulberrycross.sibling.http.ChangesCodec;
import org.mulberrycross.sibling.http.ChangesHandler;
import org.mulberrycross.sibling.http.HttpChangesClient;

/**
 * Connects the watchers of all kinds of objects with the siblings of this daemon. Not
 * thread-safe; used while the daemon is created.
 */
final class StoreSharing {

	private final Optional<SiblingNetwork> network;

	private final MetricRegistry registry;

	private final MonotonicClock clock;

	private final Map<String, ChangeSource> feeds = new HashMap<>();

	// Without a network, all watchers ask the store itself.
	StoreSharing(Optional<SiblingNetwork> network, MetricRegistry registry, MonotonicClock clock) {
		this.network = Objects.requireNonNull(network, "network");
		this.registry = Objects.requireNonNull(registry, "registry");
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	// Returns how the watcher of a kind shares what it reads.
	ChangeSharing share(String kind) {
		ChangeFeed feed = new ChangeFeed(this.clock);
		this.feeds.put(kind, feed);
		SiblingWatch siblingWatch = this.network
			.<SiblingWatch>map((connected) -> new HubWatch(kind, connected.directory(),
					new HttpChangesClient(connected.client(), connected.self().name()), this.clock))
			.orElse(SiblingWatch.NONE);
		return new ChangeSharing(siblingWatch, feed, new WatchMetrics(this.registry, kind));
	}

	// Serves the kinds shared so far to siblings.
	void serve() {
		this.network.ifPresent((connected) -> connected.server()
			.register(ChangesCodec.PATH,
					new ChangesHandler(this.feeds, (name) -> connected.directory().find(name).isPresent())));
	}

}
