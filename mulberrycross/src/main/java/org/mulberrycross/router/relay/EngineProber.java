package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.PeerException;
import org.mulberrycross.engine.EngineInstance;

/**
 * Reads the reports of engines. Probes of an engine are rate-limited, since each call is
 * charged. {@link #probe} is confined to the control thread; the calls run on traffic
 * threads.
 */
final class EngineProber implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(EngineProber.class);

	/** Timeout of a probe; many round trips within a region. */
	private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);

	private static final int MAX_CONCURRENT_PROBES = 3;

	private final EngineReporter reporter;

	private final Map<String, Long> lastProbeNanos = new HashMap<>();

	private final ExecutorService executor = Executors.newFixedThreadPool(MAX_CONCURRENT_PROBES, (task) -> {
		Thread thread = new Thread(task, "engine-probe");
		thread.setDaemon(true);
		return thread;
	});

	EngineProber(EngineReporter reporter) {
		this.reporter = Objects.requireNonNull(reporter, "reporter");
	}

	// Probes an engine unless it was probed within the interval. Passes the report, or
	// empty if the engine does not reply, on a traffic thread.
	void probe(EngineInstance engine, Duration minInterval, long nowNanos,
			BiConsumer<EngineInstance, Optional<EngineReport>> onResult) {
		Long previous = this.lastProbeNanos.get(engine.id());
		if (previous != null && nowNanos - previous < minInterval.toNanos()) {
			return;
		}
		this.lastProbeNanos.put(engine.id(), nowNanos);
		this.executor.execute(() -> {
			try {
				onResult.accept(engine, Optional.of(this.reporter.report(engine, PROBE_TIMEOUT)));
			}
			catch (PeerException | RuntimeException | Error ex) {
				logger.atInfo()
					.addKeyValue("upstream", engine.id())
					.addKeyValue("cause", ex.toString())
					.log("engine probe failed");
				onResult.accept(engine, Optional.empty());
			}
		});
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
