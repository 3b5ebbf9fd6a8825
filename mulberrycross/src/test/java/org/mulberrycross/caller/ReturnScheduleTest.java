package org.mulberrycross.caller;

import java.time.Duration;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against refused callers that return as one wave or later than they accept.
 */
class ReturnScheduleTest {

	private static final Duration SHORTEST = Duration.ofMillis(100);

	private static final double INTERVAL_NANOS = 50e6;

	private final ReturnSchedule schedule = new ReturnSchedule(new SplittableRandom(1));

	/** Fails if callers return faster than room comes free at a known rate. */
	@Test
	void callersReturnAtRateOfFreeRoom() {
		int early = 0;
		for (int i = 0; i < 40; i++) {
			Duration delay = this.schedule.book(SHORTEST, INTERVAL_NANOS, Duration.ofSeconds(60), 0);
			assertThat(delay).isAtLeast(SHORTEST.plusMillis(50 * i));
			early += (delay.compareTo(Duration.ofSeconds(1)) < 0) ? 1 : 0;
		}
		assertThat(early).isAtMost(19);
	}

	/** Fails if a caller is told to wait longer than it accepts, and so comes at once. */
	@Test
	void neverExceedsThirdOfRemainingTime() {
		for (int i = 0; i < 40; i++) {
			assertThat(this.schedule.book(SHORTEST, INTERVAL_NANOS, Duration.ofMillis(900), 0))
				.isAtMost(Duration.ofMillis(300));
		}
	}

	/** Fails if an overload that is over still keeps callers away. */
	@Test
	void forgetsReturnsThatAreOver() {
		this.schedule.book(SHORTEST, 10 * INTERVAL_NANOS, Duration.ofSeconds(60), 0);
		assertThat(this.schedule.book(SHORTEST, INTERVAL_NANOS, Duration.ofSeconds(60), 1_000_000_000))
			.isAtMost(SHORTEST.multipliedBy(2));
	}

	/** Fails if a caller whose time is over is told to return without any pause. */
	@Test
	void neverBooksReturnWithoutPause() {
		assertThat(this.schedule.book(SHORTEST, INTERVAL_NANOS, Duration.ZERO, 0)).isAtLeast(Duration.ofMillis(1));
	}

}
