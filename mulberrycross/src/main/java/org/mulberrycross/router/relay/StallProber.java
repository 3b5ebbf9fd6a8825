package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;
import org.mulberrycross.engine.EngineInstance;

/**
 * Asks the first engines of paths without progress which engine is stalled. Probes of an
 * engine are rate-limited, since each call is charged. {@link #probe} is confined to the
 * control thread; the calls run on traffic threads.
 */
final class StallProber implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(StallProber.class);

	/**
	 * Minimum time between probes of an engine; its reports lag by several hundred ms.
	 */
	private static final Duration MIN_PROBE_INTERVAL = Duration.ofMillis(400);

	/** Timeout of a probe; many round trips within a region. */
	private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);

	private static final int MAX_CONCURRENT_PROBES = 3;

	private final StallReporter reporter;

	private final Map<String, Long> lastProbeNanos = new HashMap<>();

	private final ExecutorService executor = Executors.newFixedThreadPool(MAX_CONCURRENT_PROBES, (task) -> {
		Thread thread = new Thread(task, "stall-probe");
		thread.setDaemon(true);
		return thread;
	});

	StallProber(StallReporter reporter) {
		this.reporter = Objects.requireNonNull(reporter, "reporter");
	}

	// Probes an engine unless it was probed recently. If it does not reply, the engine
	// itself is reported as stalled. The result is passed on a traffic thread.
	void probe(EngineInstance engine, long nowNanos, BiConsumer<EngineInstance, Set<Address>> onResult) {
		Long previous = this.lastProbeNanos.get(engine.id());
		if (previous != null && nowNanos - previous < MIN_PROBE_INTERVAL.toNanos()) {
			return;
		}
		this.lastProbeNanos.put(engine.id(), nowNanos);
		this.executor.execute(() -> {
			try {
				onResult.accept(engine, this.reporter.stalledEngines(engine, PROBE_TIMEOUT));
			}
			catch (PeerException ex) {
				logger.atInfo()
					.addKeyValue("upstream", engine.id())
					.addKeyValue("cause", ex.toString())
					.log("stall probe failed, treating the engine as stalled");
				onResult.accept(engine, Set.of(engine.upstream().address()));
			}
		});
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
