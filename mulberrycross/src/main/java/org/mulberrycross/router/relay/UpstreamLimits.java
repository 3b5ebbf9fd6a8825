package org.mulberrycross.router.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.engine.RateLimit;

/**
 * The limits on requests that upstreams name in their answers. A limit holds until the
 * upstream's answer to a later request names none, and ends with the start of the
 * upstream that named it. Confined to the control thread; not thread-safe.
 */
final class UpstreamLimits {

	private static final Logger logger = LoggerFactory.getLogger(UpstreamLimits.class);

	private final RelayMetrics metrics;

	private final Map<String, NamedLimit> limits = new HashMap<>();

	UpstreamLimits(RelayMetrics metrics) {
		this.metrics = Objects.requireNonNull(metrics, "metrics");
	}

	// Records what an answer of an upstream states about its limit.
	void record(UpstreamInstance upstream, UpstreamResponseHead answer) {
		if (answer.limit().isPresent()) {
			name(upstream, answer.limit().get());
		}
		else if (answer.unlimited()) {
			end(upstream);
		}
	}

	private void name(UpstreamInstance upstream, RateLimit limit) {
		NamedLimit named = new NamedLimit(limit, upstream.startedMillis());
		if (named.equals(this.limits.put(upstream.id(), named))) {
			return;
		}
		this.metrics.updateLimitedUpstreams(this.limits.size());
		logger.atInfo()
			.addKeyValue("upstream", upstream.id())
			.addKeyValue("service", upstream.service())
			.addKeyValue("requests_per_s", limit.requestsPerSecond())
			.log("upstream limits its requests");
	}

	private void end(UpstreamInstance upstream) {
		if (this.limits.remove(upstream.id()) == null) {
			return;
		}
		this.metrics.updateLimitedUpstreams(this.limits.size());
		logger.atInfo()
			.addKeyValue("upstream", upstream.id())
			.addKeyValue("service", upstream.service())
			.log("upstream no longer limits its requests");
	}

	/** A limit and the start of the instance that named it. */
	private record NamedLimit(RateLimit limit, long startedMillis) {

	}

}
