package org.mulberrycross.router.relay;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against keys that are honoured too long on a machine that was suspended.
 */
class FreshnessTest {

	/**
	 * Fails if a suspended steady clock or a time of day that was set back hides an age.
	 */
	@ParameterizedTest
	@CsvSource({ "1000, 1000, 1000", "500, 4500, 4500", "3000, 1000, 3000", "3000, -2000, 3000" })
	void largerAgeHolds(long steadyMillis, long wallMillis, long expected) {
		Freshness asOf = new Freshness(7_000_000, 50_000);
		Freshness now = new Freshness(7_000_000 + steadyMillis * 1_000_000, 50_000 + wallMillis);
		assertThat(asOf.ageMillis(now)).isEqualTo(expected);
	}

}
