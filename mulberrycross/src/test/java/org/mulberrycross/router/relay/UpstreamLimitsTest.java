package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.Address;
import org.mulberrycross.UpstreamInstance;
import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.LayerRange;
import org.mulberrycross.engine.RateLimit;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against limits that are not kept, kept too long, or kept for another upstream.
 */
class UpstreamLimitsTest {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final MetricRegistry registry = new MetricRegistry();

	private final UpstreamLimits limits = new UpstreamLimits(1, new RelayMetrics(this.registry),
			new SplittableRandom(1));

	private static UpstreamInstance upstream(long startedMillis) {
		return new UpstreamInstance("u", "model", new Address("10.0.0.1", 80), "dc", false, 8, startedMillis);
	}

	private static DirectoryEntry engine(int firstLayer) {
		return new DirectoryEntry(upstream(1),
				Optional.of(new EngineInstance(upstream(1), "kind", Optional.of(new LayerRange(firstLayer, 10)), 1)));
	}

	private void record(Optional<RateLimit> limit, boolean unlimited, long nowNanos) {
		this.limits.record(upstream(1), new UpstreamResponseHead(Optional.empty(), true, false, false, Optional.empty(),
				false, false, Optional.empty(), limit, unlimited), nowNanos);
	}

	private void useLimit(double requestsPerSecond) {
		record(Optional.of(new RateLimit(requestsPerSecond)), false, 0);
		this.limits.recordSent(upstream(1), 0);
	}

	private boolean hasRoom(long startedMillis, long nowNanos) {
		return this.limits.restrict(new DirectoryEntry(upstream(startedMillis), Optional.empty()), nowNanos)
			.isPresent();
	}

	/** Fails if a single daemon exceeds a limit, or waits longer than it has to. */
	@Test
	void requestsAreSpacedByLimit() {
		useLimit(2);
		assertThat(hasRoom(1, 0)).isFalse();
		assertThat(this.limits.untilRoom(upstream(1), 0)).isEqualTo(Optional.of(Duration.ofMillis(500)));
		assertThat(hasRoom(1, SECOND / 2)).isTrue();
	}

	/**
	 * Fails if a limit outlives an answer without it, the start that named it or the
	 * entry of the upstream, or is lifted by an answer that states nothing.
	 */
	@ParameterizedTest
	@CsvSource({ "false, 1, true, false", "true, 1, true, true", "false, 2, true, true", "false, 1, false, true" })
	void limitEndsWithStatementStartOrEntry(boolean unlimited, long startedMillis, boolean listed, boolean room) {
		useLimit(1);
		record(Optional.empty(), unlimited, 1);
		this.limits.check((id) -> listed, 1);
		assertThat(hasRoom(startedMillis, 1)).isEqualTo(room);
	}

	/**
	 * Fails if an engine at its limit gets requests, or can no longer run later layers of
	 * requests that another engine gets.
	 */
	@Test
	void engineAtLimitOnlyRunsLaterLayers() {
		useLimit(1);
		assertThat(this.limits.restrict(engine(0), 1).flatMap(DirectoryEntry::engine).flatMap(EngineInstance::layers))
			.isEqualTo(Optional.of(new LayerRange(1, 10)));
		assertThat(this.limits.restrict(engine(5), 1)).isEqualTo(Optional.of(engine(5)));
	}

	/** Fails if all clients that are refused for a limit come back at the same time. */
	@Test
	void refusedClientsReturnOneAfterTheOther() {
		useLimit(1);
		Duration first = this.limits.bookReturn(Duration.ofMillis(900), Duration.ofSeconds(60), 0);
		Duration second = this.limits.bookReturn(Duration.ofMillis(900), Duration.ofSeconds(60), 0);
		assertThat(first).isAtLeast(Duration.ofMillis(900));
		assertThat(second).isAtLeast(Duration.ofMillis(1900));
		assertThat(this.registry.counter("limits.refused").getCount()).isEqualTo(2);
	}

}
