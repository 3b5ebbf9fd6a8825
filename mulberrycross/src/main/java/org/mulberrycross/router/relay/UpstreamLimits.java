package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.caller.ReturnSchedule;
import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.caller.WeightedService;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.RateLimit;
import org.mulberrycross.sibling.LimitShares;

/**
 * The limits on requests that upstreams name in their answers. A limit holds until the
 * upstream's answer to a later request names none, and ends with the start of the
 * upstream that named it. Confined to the control thread; not thread-safe.
 */
final class UpstreamLimits {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamLimits.class);

	/** Time between two log lines on the use of limits. */
	private static final Duration REPORT_PERIOD = Duration.ofSeconds(5);

	/**
	 * Factor by which the part of each daemon in a limit exceeds an equal division, for
	 * listed daemons that are gone or have no requests.
	 */
	private static final double UNUSED_PARTS_FACTOR = 1.25;

	private static final double NANOS_PER_SECOND = 1e9;

	private final RelayMetrics metrics;

	private final RandomGenerator random;

	private final ReturnSchedule returns;

	private final Map<String, LimitedUpstream> limits = new HashMap<>();

	/** Empty if this daemon cannot send messages to other daemons. */
	private Optional<LimitShares> shares = Optional.empty();

	private int daemonCount;

	private long nextReportNanos;

	UpstreamLimits(int daemonCount, RelayMetrics metrics, RandomGenerator random) {
		this.daemonCount = daemonCount;
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.random = Objects.requireNonNull(random, "random");
		this.returns = new ReturnSchedule(random);
	}

	// Shares the limits with other daemons from now on.
	void shareWith(LimitShares limitShares) {
		this.shares = Optional.of(limitShares);
	}

	void updateDaemonCount(int count) {
		this.daemonCount = Math.max(1, count);
	}

	// Returns the slots that the owner of a limit may lease out: its own part and those
	// of the daemons that report to it. A daemon that reports to no owner uses its part
	// itself, so that all daemons together keep the limit whoever hears of whom. An owner
	// that hears of nobody uses only its part; one of others has at least one slot, which
	// goes round.
	int ownedSlots(String key, int borrowers) {
		if (borrowers == 0 && this.daemonCount > 1) {
			return 0;
		}
		double parts = Math.min(1, UNUSED_PARTS_FACTOR * (borrowers + 1) / this.daemonCount);
		return LimitKey.limitOf(key).map((limit) -> Math.max(1, (int) (limit.slots() * parts))).orElse(0);
	}

	// Records what an answer of an upstream states about its limit.
	void record(UpstreamInstance upstream, UpstreamResponseHead answer, long nowNanos) {
		if (answer.limit().isPresent()) {
			name(upstream, answer.limit().get(), nowNanos);
		}
		else if (answer.unlimited()) {
			end(upstream);
		}
	}

	private void name(UpstreamInstance upstream, RateLimit limit, long nowNanos) {
		LimitKey key = new LimitKey(upstream.id(), upstream.startedMillis(), limit);
		Optional<LimitKey> known = Optional.ofNullable(this.limits.get(upstream.id())).map(LimitedUpstream::key);
		// An answer of an earlier start may arrive late.
		if (known.filter((held) -> held.equals(key) || held.startedMillis() > key.startedMillis()).isPresent()) {
			return;
		}
		forget(upstream.id());
		this.limits.put(upstream.id(),
				new LimitedUpstream(upstream.service(), key, this.shares, this.random, nowNanos));
		this.metrics.updateLimitedUpstreams(this.limits.size());
		logger.atInfo()
			.addKeyValue("upstream", upstream.id())
			.addKeyValue("service", upstream.service())
			.addKeyValue("requests_per_s", limit.requestsPerSecond())
			.log("upstream limits its requests");
	}

	private void end(UpstreamInstance upstream) {
		if (find(upstream).isEmpty()) {
			return;
		}
		forget(upstream.id());
		logger.atInfo()
			.addKeyValue("upstream", upstream.id())
			.addKeyValue("service", upstream.service())
			.log("upstream no longer limits its requests");
	}

	private void forget(String id) {
		Optional.ofNullable(this.limits.remove(id)).ifPresent(LimitedUpstream::close);
		this.metrics.updateLimitedUpstreams(this.limits.size());
	}

	// Returns the limit of this start of an upstream.
	private Optional<LimitedUpstream> find(UpstreamInstance upstream) {
		return Optional.ofNullable(this.limits.get(upstream.id()))
			.filter((limit) -> limit.key().startedMillis() == upstream.startedMillis());
	}

	// Returns what may be sent to an upstream now: an engine without room under its limit
	// only runs later layers of requests, and an instance of a plain service gets none.
	Optional<DirectoryEntry> restrict(DirectoryEntry entry, long nowNanos) {
		if (find(entry.instance()).map((limit) -> limit.hasRoom(this.daemonCount, nowNanos)).orElse(true)) {
			return Optional.of(entry);
		}
		return entry.engine()
			.flatMap(UpstreamLimits::withoutFirstLayer)
			.map((engine) -> new DirectoryEntry(entry.instance(), Optional.of(engine)));
	}

	private static Optional<EngineInstance> withoutFirstLayer(EngineInstance engine) {
		return engine.layers()
			.filter((held) -> held.end() > 1)
			.map((held) -> new LayerRange(Math.max(1, held.first()), held.end()))
			.map((rest) -> new EngineInstance(engine.upstream(), engine.kind(), Optional.of(rest),
					engine.weightsVersion()));
	}

	// Returns the time until an upstream is expected to have room under its limit, or
	// empty if it has no limit or has room now.
	Optional<Duration> untilRoom(UpstreamInstance upstream, long nowNanos) {
		return find(upstream).filter((limit) -> !limit.hasRoom(this.daemonCount, nowNanos))
			.map((limit) -> limit.untilRoom(this.daemonCount, nowNanos));
	}

	// Records that a request of a route could use the limited upstreams without room.
	void recordDemand(RouteRule rule, long nowNanos) {
		if (this.limits.isEmpty()) {
			return;
		}
		Set<String> services = rule.services().stream().map(WeightedService::service).collect(Collectors.toSet());
		this.limits.values()
			.stream()
			.filter((limit) -> services.contains(limit.service()))
			.forEach((limit) -> limit.recordDemand(nowNanos));
	}

	// Counts a request that is sent to an upstream now. Returns whether the upstream has
	// a limit.
	boolean recordSent(UpstreamInstance upstream, long nowNanos) {
		Optional<LimitedUpstream> limit = find(upstream);
		limit.ifPresent((found) -> found.recordSent(this.daemonCount, nowNanos));
		return limit.isPresent();
	}

	// Returns when the client of a request that is refused because of limits may come
	// back: one after the other from the time at which room is expected.
	Duration bookReturn(Duration untilRoom, Duration remaining, long nowNanos) {
		this.metrics.countLimitRefusal();
		double rate = this.limits.values()
			.stream()
			.mapToDouble((limit) -> limit.requestsPerSecond(this.daemonCount, nowNanos))
			.sum();
		return this.returns.book(untilRoom, NANOS_PER_SECOND / Math.max(RateLimit.MIN, rate), remaining, nowNanos);
	}

	// Frees the slots of requests that were sent long enough ago, and drops the limits of
	// upstreams that are no longer listed.
	void check(Predicate<String> isListed, long nowNanos) {
		if (this.limits.isEmpty()) {
			return;
		}
		this.limits.values().forEach((limit) -> limit.releaseSlots(nowNanos));
		Set<String> gone = new HashSet<>(this.limits.keySet());
		gone.removeIf(isListed);
		gone.forEach(this::forget);
		if (nowNanos - this.nextReportNanos >= 0) {
			this.nextReportNanos = nowNanos + REPORT_PERIOD.toNanos();
			report(nowNanos);
		}
	}

	private void report(long nowNanos) {
		int held = this.limits.values().stream().mapToInt((limit) -> limit.heldSlots(nowNanos)).sum();
		this.metrics.updateLimitSlots(held);
		logger.atInfo()
			.addKeyValue("upstreams", this.limits.size())
			.addKeyValue("slots_held", held)
			.addKeyValue("daemons", this.daemonCount)
			.addKeyValue("sent", this.limits.values().stream().mapToLong(LimitedUpstream::takeSent).sum())
			.log("request limits in use");
	}

}
