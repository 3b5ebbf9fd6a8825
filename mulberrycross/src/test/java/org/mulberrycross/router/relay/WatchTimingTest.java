package org.mulberrycross.router.relay;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls to the store that grow with the product of daemons and changes,
 * and against delays that break the limits on acting on changes.
 */
class WatchTimingTest {

	private static final PropagationLimits SMALL_FLEET = limits(2000, 2000, 3000);

	private static final PropagationLimits LARGE_FLEET = limits(4000, 4000, 5000);

	private static PropagationLimits limits(long drainMillis, long configurationMillis, long contactMillis) {
		return new PropagationLimits(Duration.ofMillis(drainMillis), Duration.ofMillis(configurationMillis),
				Duration.ofMillis(contactMillis));
	}

	/**
	 * Pattern: 205 engines load layers while 38 daemons watch them. Fails if each daemon
	 * makes four calls a second as in a small fleet.
	 */
	@Test
	void accumulatesMoreChangesInLargerFleet() {
		assertThat(WatchTiming.ofUpstreams(SMALL_FLEET, 5).batchDelay()).isEqualTo(Duration.ofMillis(250));
		assertThat(WatchTiming.ofUpstreams(LARGE_FLEET, 38).batchDelay()).isEqualTo(Duration.ofMillis(950));
	}

	/** Fails if a large fleet sends requests to leaving upstreams for too long. */
	@Test
	void staysWithinPartOfLimits() {
		assertThat(WatchTiming.ofUpstreams(LARGE_FLEET, 330).batchDelay()).isEqualTo(Duration.ofMillis(1000));
		assertThat(WatchTiming.ofConfiguration(SMALL_FLEET, 330).batchDelay()).isEqualTo(Duration.ofMillis(250));
	}

	/** Fails if a watch that went silent is noticed after the limits on leaving. */
	@Test
	void noticesSilentWatchWithinLimits() {
		assertThat(WatchTiming.ofUpstreams(SMALL_FLEET, 5).watchTimeout()).isEqualTo(Duration.ofMillis(4000));
		assertThat(WatchTiming.ofUpstreams(LARGE_FLEET, 5).watchTimeout()).isEqualTo(Duration.ofMillis(6000));
	}

}
