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
 * Asks first engines of silent paths for the engine that holds them up, each at most once
 * in a while since such calls are charged. {@link #probe} belongs to the control thread;
 * the calls run on traffic threads.
 */
final class StallProbes implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(StallProbes.class);

	/** Least time between two probes of an engine; its report is some hundred ms old. */
	private static final Duration PERIOD = Duration.ofMillis(400);

	/** Bound on a probe, many round trips within a region. */
	private static final Duration TIMEOUT = Duration.ofMillis(300);

	/** Probes on their way at the same time. */
	private static final int PROBES_AT_ONCE = 3;

	private final StallReporter reporter;

	private final Map<String, Long> lastNanos = new HashMap<>();

	private final ExecutorService threads = Executors.newFixedThreadPool(PROBES_AT_ONCE, (task) -> {
		Thread thread = new Thread(task, "stall-probe");
		thread.setDaemon(true);
		return thread;
	});

	StallProbes(StallReporter reporter) {
		this.reporter = Objects.requireNonNull(reporter, "reporter");
	}

	void probe(EngineInstance engine, long nowNanos, BiConsumer<EngineInstance, Set<Address>> result) {
		Long last = this.lastNanos.get(engine.id());
		if (last != null && nowNanos - last < PERIOD.toNanos()) {
			return;
		}
		this.lastNanos.put(engine.id(), nowNanos);
		this.threads.execute(() -> {
			try {
				result.accept(engine, this.reporter.stalled(engine, TIMEOUT));
			}
			catch (PeerException ex) {
				logger.atInfo()
					.addKeyValue("upstream", engine.id())
					.addKeyValue("cause", ex.toString())
					.log("no report on stalled requests");
				result.accept(engine, Set.of(engine.upstream().address()));
			}
		});
	}

	@Override
	public void close() {
		this.threads.shutdownNow();
	}

}
