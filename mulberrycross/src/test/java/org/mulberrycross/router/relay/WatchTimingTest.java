package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against calls to the store that grow with the product of daemons and changes,
 * and against delays that break the limits on acting on changes.
 */
class WatchTimingTest {

	private static final PropagationLimits SMALL_FLEET = limits(2000, 2000, 3000);

	private static final PropagationLimits LARGE_FLEET = limits(4000, 4000, 5000);

	/** Time after the end of a watch's wait by which its call fails. */
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);

	private static final Duration MIN_WATCH_TIMEOUT = Duration.ofMillis(300);

	/** Time for a reply of the hub on a busy machine. */
	private static final Duration HUB_REPLY_TIME = Duration.ofMillis(150);

	/** Time for a call to the store and for applying its result on a busy machine. */
	private static final Duration STORE_CALL_TIME = Duration.ofMillis(600);

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

	/**
	 * Fails if a connection that went silent keeps a daemon from changes for longer than
	 * the contact time, during which the limits do not apply. The watch begins after the
	 * pause for changes, and its call fails 0.8 s after the end of its wait.
	 */
	@ParameterizedTest
	@CsvSource({ "2000, 3000, 5", "3000, 4000, 24", "3000, 4000, 30", "4000, 5000, 38", "4000, 5000, 330" })
	void noticesSilentWatchWithinContactTime(long limitMillis, long contactMillis, int daemonCount) {
		PropagationLimits limits = limits(limitMillis, limitMillis, contactMillis);
		assertThat(detectionMillis(WatchTiming.ofUpstreams(limits, daemonCount))).isLessThan(contactMillis);
		assertThat(detectionMillis(WatchTiming.ofConfiguration(limits, daemonCount))).isLessThan(contactMillis);
	}

	/**
	 * A hub's knowledge is oldest if a change comes at the end of a watch, followed by
	 * the pause and the shortest watch. Fails if followers then ask the store although
	 * the hub is sound, or if they ask so late that a change is applied after its limit.
	 */
	@ParameterizedTest
	@CsvSource({ "2000, 3000, 30, 10", "2000, 3000, 30, 2", "2000, 3000, 100, 50", "3000, 4000, 61, 4",
			"4000, 5000, 330, 20" })
	void hubConfirmsBeforeFollowersAskTheStore(long limitMillis, long contactMillis, int daemonCount, int callerCount) {
		PropagationLimits limits = limits(limitMillis, limitMillis, contactMillis);
		List<Function<Integer, WatchTiming>> timings = List.of((count) -> WatchTiming.ofUpstreams(limits, count),
				(count) -> WatchTiming.ofConfiguration(limits, count));
		for (Function<Integer, WatchTiming> timing : timings) {
			WatchTiming hub = timing.apply(callerCount).forFollowedDaemon();
			WatchTiming follower = timing.apply(daemonCount);
			Duration oldest = hub.watchTimeout().plus(hub.batchDelay()).plus(MIN_WATCH_TIMEOUT);
			assertThat(oldest.plus(HUB_REPLY_TIME)).isLessThan(follower.maxSiblingAge());
			assertThat(follower.maxSiblingAge().plus(STORE_CALL_TIME)).isAtMost(Duration.ofMillis(limitMillis));
		}
	}

	private static long detectionMillis(WatchTiming timing) {
		return timing.batchDelay().plus(timing.watchTimeout()).plus(CALL_TIMEOUT).toMillis();
	}

}
