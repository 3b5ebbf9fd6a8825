package org.mulberrycross.router.relay;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against accepting outdated keys on a machine that was suspended.
 */
class ClockReadingTest {

	/**
	 * Fails if a monotonic clock that stopped or a wall clock that was set back makes an
	 * age too small.
	 */
	@ParameterizedTest
	@CsvSource({ "1000, 1000, 1000", "500, 4500, 4500", "3000, 1000, 3000", "3000, -2000, 3000" })
	void returnsLargerOfBothAges(long monotonicMillis, long wallMillis, long expected) {
		ClockReading asOf = new ClockReading(7_000_000, 50_000);
		ClockReading now = new ClockReading(7_000_000 + monotonicMillis * 1_000_000, 50_000 + wallMillis);
		assertThat(asOf.ageMillis(now)).isEqualTo(expected);
	}

}
