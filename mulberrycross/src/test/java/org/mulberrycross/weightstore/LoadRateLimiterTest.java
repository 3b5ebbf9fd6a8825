package org.mulberrycross.weightstore;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests how daemons share the rate of the weight store.
 */
class LoadRateLimiterTest {

	/**
	 * Fails if a load starts before the backlog of the earlier one has drained, or still
	 * waits afterwards.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 9999, false", "1, 10000, true", "4, 39999, false", "4, 40000, true" })
	void loadWaitsUntilBacklogIsDrained(int daemons, long millis, boolean starts) {
		LoadRateLimiter limiter = new LoadRateLimiter(100, 0);
		limiter.setDaemonCount(daemons, 0);
		assertThat(limiter.tryStart(1_000, 0)).isTrue();
		assertThat(limiter.tryStart(1_000, Duration.ofMillis(millis).toNanos())).isEqualTo(starts);
	}

	/** Fails if a change of the number of daemons applies to time before the change. */
	@Test
	void newDaemonCountDoesNotApplyToPastTime() {
		LoadRateLimiter limiter = new LoadRateLimiter(100, 0);
		limiter.tryStart(1_000, 0);
		limiter.setDaemonCount(2, Duration.ofSeconds(5).toNanos());
		assertThat(limiter.tryStart(1_000, Duration.ofSeconds(14).toNanos())).isFalse();
		assertThat(limiter.tryStart(1_000, Duration.ofSeconds(15).toNanos())).isTrue();
	}

	/**
	 * Fails if the daemons together load more than the rate permits plus one load for
	 * each daemon.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void totalLoadStaysWithinRate(long seed) {
		Random random = new Random(seed);
		int daemons = 1 + random.nextInt(10);
		List<LoadRateLimiter> limiters = new ArrayList<>();
		for (int i = 0; i < daemons; i++) {
			limiters.add(new LoadRateLimiter(100, 0));
			limiters.get(i).setDaemonCount(daemons, 0);
		}
		long nanos = 0;
		double startedBytes = 0;
		for (int step = 0; step < 10_000; step++) {
			nanos += Duration.ofMillis(random.nextInt(1000)).toNanos();
			long bytes = 1 + random.nextInt(1_000);
			startedBytes += limiters.get(random.nextInt(daemons)).tryStart(bytes, nanos) ? bytes : 0;
			assertThat(startedBytes).isAtMost(100 * (nanos / 1e9) + daemons * 1_000 + 1e-3);
		}
		assertThat(startedBytes).isGreaterThan(100 * (nanos / 1e9) / 2);
	}

}
