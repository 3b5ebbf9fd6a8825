package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.sibling.ServingSiblings;
import org.mulberrycross.sibling.Sibling;

/**
 * Decides when requests are passed on to a sibling: while this daemon reaches no upstream
 * and a sibling says that it does. If the upstreams are down for all daemons, no sibling
 * says so, and requests are handled as if there were no siblings. Confined to the control
 * thread, except for {@link #isCutOff()}; not thread-safe.
 */
final class SiblingFallback {

	private static final Logger logger = LoggerFactory.getLogger(SiblingFallback.class);

	/** Period of asking the siblings while no upstream is reached. */
	private static final Duration ASK_PERIOD = Duration.ofMillis(500);

	/** Time after its last request from which a sibling counts as reaching upstreams. */
	private static final Duration RELAYING_LIFETIME = Duration.ofSeconds(1);

	private final MonotonicClock clock;

	private final RelayMetrics metrics;

	private final UpstreamReach reach = new UpstreamReach();

	private final ServingSiblings serving;

	private final ToIntFunction<Sibling> requestsAt;

	/** When each sibling that passes requests on to this daemon last did so. */
	private final Map<String, Long> relayingNanos = new HashMap<>();

	private Supplier<Collection<Sibling>> siblings = List::of;

	private ReachQuery query = (sibling, onReply) -> {
	};

	private OptionalLong lastAskedNanos = OptionalLong.empty();

	/** Whether requests were passed on at the last check. */
	private boolean relaying;

	// The requests of this daemon that are under way at a sibling decide between two that
	// serve.
	SiblingFallback(MonotonicClock clock, RelayMetrics metrics, RandomGenerator random,
			ToIntFunction<Sibling> requestsAt) {
		this.clock = clock;
		this.metrics = metrics;
		this.requestsAt = requestsAt;
		this.serving = new ServingSiblings(random);
	}

	// Sets how siblings are found and asked. Without it, no request is passed on.
	void connect(Supplier<Collection<Sibling>> known, ReachQuery reachQuery) {
		this.siblings = Objects.requireNonNull(known, "known");
		this.query = Objects.requireNonNull(reachQuery, "reachQuery");
	}

	// Returns whether this daemon reaches no upstream. May be called on any thread.
	boolean isCutOff() {
		return this.reach.isLost();
	}

	// Returns whether accepted connections are to be recorded. May be called on any
	// thread.
	boolean isWatching() {
		return this.reach.isWatching();
	}

	// Returns whether requests are passed on to siblings.
	boolean isActive(long nowNanos) {
		return this.reach.isLost() && this.serving.isAny(nowNanos);
	}

	// Records that an upstream has accepted a connection. Returns whether this daemon
	// reaches the upstreams again.
	boolean recordAccepted() {
		boolean restored = this.reach.recordAccepted();
		if (restored) {
			this.lastAskedNanos = OptionalLong.empty();
			logger.info("upstreams accept connections again");
		}
		return restored;
	}

	// Records that an upstream has not accepted a connection.
	void recordUnreachable(String id, long nowNanos) {
		if (this.reach.recordFailure(id, nowNanos)) {
			logger.atInfo().addKeyValue("upstream", id).log("no upstream accepts connections, asking siblings");
			check(nowNanos);
		}
	}

	// Chooses the sibling that a request is passed on to. Once in a while a request is
	// sent to its upstream all the same, which shows when the way is there again.
	Optional<Sibling> choose(RelayExchange exchange, long nowNanos) {
		if (exchange.isRelayed() || !isActive(nowNanos)) {
			return Optional.empty();
		}
		if (exchange.attempts() == 0 && this.reach.takeTrial(nowNanos)) {
			return Optional.empty();
		}
		Optional<Sibling> chosen = this.serving.choose(exchange.failedUpstreams(), this.requestsAt, nowNanos);
		chosen.ifPresent((sibling) -> this.metrics.countRelayedOut());
		return chosen;
	}

	// Records that a sibling is not reached, or takes no requests of others.
	void recordRefusal(Sibling sibling, long nowNanos) {
		this.serving.record(sibling, false, nowNanos);
	}

	// Records a request that a sibling has passed on to this daemon.
	void recordRelayed(String daemon, long nowNanos) {
		this.relayingNanos.put(daemon, nowNanos);
		this.metrics.countRelayedIn();
	}

	// Returns how many daemons pass their requests on instead of sending them themselves.
	int relayingDaemons(long nowNanos) {
		this.relayingNanos.values().removeIf((nanos) -> nowNanos - nanos > RELAYING_LIFETIME.toNanos());
		return this.relayingNanos.size();
	}

	// Asks the siblings if it is time.
	void check(long nowNanos) {
		boolean active = isActive(nowNanos);
		if (active != this.relaying) {
			this.relaying = active;
			this.metrics.updateCutOff(active);
			logger.atInfo()
				.addKeyValue("active", active)
				.addKeyValue("reaches_upstreams", !this.reach.isLost())
				.log("passing on requests to siblings");
		}
		boolean due = this.lastAskedNanos.isEmpty()
				|| nowNanos - this.lastAskedNanos.getAsLong() >= ASK_PERIOD.toNanos();
		if (!this.reach.isLost() || !due) {
			return;
		}
		this.lastAskedNanos = OptionalLong.of(nowNanos);
		for (Sibling sibling : this.serving.nextAsked(Set.copyOf(this.siblings.get()))) {
			this.query.ask(sibling, (serves) -> this.serving.record(sibling, serves, this.clock.nanos()));
		}
	}

	/** Asks siblings whether they reach the upstreams. */
	@FunctionalInterface
	interface ReachQuery {

		// Asks a sibling and passes on, on the control thread, whether it serves requests
		// of others. A sibling that does not reply in time does not.
		void ask(Sibling sibling, Consumer<Boolean> onReply);

	}

}
