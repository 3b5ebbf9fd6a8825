package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Address;
import org.mulberrycross.caller.RouteKind;
import org.mulberrycross.caller.RouteRule;
import org.mulberrycross.caller.WeightedService;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against exceeding the limit on the retries of all daemons together.
 */
class RetryBudgetsTest {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final double RATIO = 0.2;

	private static final double BURST = 200;

	private static final int WINDOW_MILLIS = 10_000;

	private static final RelaySettings SETTINGS = new RelaySettings("router-1", "dc-1", new Address("127.0.0.1", 1),
			new Address("127.0.0.1", 2), new Address("127.0.0.1", 3), Duration.ofSeconds(5),
			new PropagationLimits(Duration.ofSeconds(2), Duration.ofSeconds(2), Duration.ofSeconds(3)),
			Duration.ofSeconds(8), RATIO, BURST, Duration.ofMillis(WINDOW_MILLIS), RelayFeatures.NONE);

	private static final RouteRule RULE = new RouteRule("route", "host", "/", RouteKind.IDEMPOTENT,
			Duration.ofSeconds(1), Duration.ofSeconds(1), 2, 0, false, false,
			List.of(new WeightedService("service", 1)));

	/**
	 * Fails if all daemons together exceed the limit in any window, while each wants a
	 * retry for every request during half of the time and all restart once.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void combinedRetriesStayWithinLimit(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		int count = 2 + random.nextInt(30);
		List<RetryBudgets> daemons = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			daemons.add(new RetryBudgets(SETTINGS, count));
		}
		int[] requests = new int[60_000];
		int[] retries = new int[60_000];
		int restartMilli = 15_000 + random.nextInt(30_000);
		for (int milli = 0; milli < requests.length; milli++) {
			if (milli == restartMilli) {
				daemons.replaceAll((daemon) -> new RetryBudgets(SETTINGS, count));
			}
			boolean failing = (milli / 3000) % 2 == 1;
			for (RetryBudgets daemon : daemons) {
				if (random.nextInt(100) == 0) {
					requests[milli]++;
					daemon.recordRequest(RULE, milli * NANOS_PER_MILLI);
					if (failing && daemon.tryAcquire(RULE, milli * NANOS_PER_MILLI)) {
						retries[milli]++;
					}
				}
			}
		}
		for (int end = WINDOW_MILLIS; end < requests.length; end += 100) {
			int maxRequests = Math.max(sumOfWindow(requests, end), Math.max(sumOfWindow(requests, end - WINDOW_MILLIS),
					sumOfWindow(requests, end - WINDOW_MILLIS / 2)));
			assertWithMessage("window that ends at %s ms", end).that((double) sumOfWindow(retries, end))
				.isAtMost(RATIO * maxRequests + BURST);
		}
	}

	private static int sumOfWindow(int[] counts, int end) {
		int sum = 0;
		for (int milli = Math.max(0, end - WINDOW_MILLIS); milli < end; milli++) {
			sum += counts[milli];
		}
		return sum;
	}

	/**
	 * Fails if a daemon without recent retries has no more of them available after a
	 * failure than one that has just started.
	 */
	@Test
	void requestsWithoutRetriesAddBudget() {
		RetryBudgets daemon = new RetryBudgets(SETTINGS, 30);
		for (int i = 0; i < 200; i++) {
			daemon.recordRequest(RULE, i * 10 * NANOS_PER_MILLI);
		}
		int acquired = 0;
		while (daemon.tryAcquire(RULE, 2000 * NANOS_PER_MILLI)) {
			acquired++;
		}
		assertThat(acquired).isAtLeast(30);
	}

	/** Fails if moves of live streams leave no retries to requests that have failed. */
	@Test
	void optionalRetriesLeaveHalfToFailures() {
		RetryBudgets daemon = new RetryBudgets(SETTINGS, 10);
		assertThat(daemon.hasOptionalRetry(RULE, 10, 0)).isFalse();
		int taken = 0;
		while (daemon.hasOptionalRetry(RULE, 1, 0) && daemon.tryAcquire(RULE, 0)) {
			taken++;
		}
		assertThat(taken).isEqualTo(5);
		assertThat(daemon.hasRetry(RULE, 0)).isTrue();
	}

	/** Fails if retries or requests before the window are still counted. */
	@Test
	void windowSlides() {
		RetryBudgets daemon = new RetryBudgets(SETTINGS, 100);
		assertThat(daemon.tryAcquire(RULE, 0)).isTrue();
		assertThat(daemon.hasRetry(RULE, 0)).isFalse();
		assertThat(daemon.hasRetry(RULE, (WINDOW_MILLIS + 1) * NANOS_PER_MILLI)).isTrue();
	}

}
