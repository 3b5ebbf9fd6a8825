package org.mulberrycross.engine;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against slots that let more requests pass than the limit, or none at a low one.
 */
class RateLimitTest {

	/** Fails if a low limit has no slot, or a high one lets a burst of seconds pass. */
	@ParameterizedTest
	@CsvSource({ "0.05, 1, 20000", "0.5, 2, 4000", "1, 4, 4000", "2.5, 4, 1600", "11.6, 12, 1035", "100, 100, 1000" })
	void dividesLimitIntoSlots(double requestsPerSecond, int slots, long windowMillis) {
		RateLimit limit = new RateLimit(requestsPerSecond);
		assertThat(limit.slots()).isEqualTo(slots);
		assertThat(limit.window().plusNanos(Duration.ofMillis(1).toNanos() - 1).toMillis()).isEqualTo(windowMillis);
	}

	/**
	 * Fails if the slots let more requests pass within 4 s than the limit allows in that
	 * time, and 4 more.
	 */
	@Test
	void slotsKeepLimitWithinFourSeconds() {
		for (double limit = RateLimit.MIN; limit < 200; limit += 0.07) {
			RateLimit rateLimit = new RateLimit(limit);
			double windows = Math.ceil(Duration.ofSeconds(4).toNanos() / (double) rateLimit.window().toNanos());
			assertThat(rateLimit.slots() * windows).isAtMost(4 * limit + 4);
		}
	}

}
