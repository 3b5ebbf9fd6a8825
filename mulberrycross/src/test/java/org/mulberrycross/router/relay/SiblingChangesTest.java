package org.mulberrycross.router.relay;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mulberrycross.StorePosition;
import org.mulberrycross.sibling.ChangesReply;
import org.mulberrycross.sibling.SharedChange;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against keys that are accepted for too long because a sibling's knowledge counts
 * as newer than it is.
 */
class SiblingChangesTest {

	private static final long AFTER = 10;

	private static ClockReading at(long millis) {
		return new ClockReading(millis * 1_000_000, millis);
	}

	private static Optional<SiblingChanges> evaluate(long revision, long ageMillis, SharedChange... changes) {
		return SiblingChanges.of(
				new ChangesReply(ChangesReply.Status.KNOWN, StorePosition.of(revision), ageMillis, List.of(changes)),
				StorePosition.of(AFTER), at(5000), at(6000));
	}

	/**
	 * The query is sent at 5.0 s. It is delayed on the way, and the hub has a
	 * confirmation of some age when it arrives, or gets one while the query waits. Fails
	 * if the confirmation counts from a later time than that of the hub.
	 */
	@ParameterizedTest
	@CsvSource({ "0, 300, 4700", "800, 300, 4700", "400, -500, 5500", "0, 0, 5000" })
	void confirmationIsNeverTooNew(long delayMillis, long ageMillis, long expectedMillis) {
		ClockReading confirmedAsOf = evaluate(AFTER, ageMillis).orElseThrow().confirmedAsOf();
		assertThat(confirmedAsOf).isEqualTo(at(expectedMillis));
		assertThat(confirmedAsOf.wallMillis()).isAtMost(5000 + delayMillis - ageMillis);
	}

	/**
	 * Pattern: a hub's machine was suspended between its confirmation and the query. Its
	 * steady clock stood still. Fails if the age does not count by the wall clock.
	 */
	@Test
	void suspendedHubCountsByWallClock() {
		ClockReading confirmedAsOf = new ClockReading(0, 1000);
		ClockReading arrivedAt = new ClockReading(100_000_000, 61_000);
		assertThat(confirmedAsOf.ageMillis(arrivedAt)).isEqualTo(60_000);
	}

	/** Fails if a reply that goes back, or is from the future, is believed. */
	@Test
	void contradictionsAreRejected() {
		assertThat(evaluate(AFTER - 1, 0)).isEmpty();
		assertThat(evaluate(AFTER + 1, 0, new SharedChange("servers/a", AFTER + 2, Optional.empty()))).isEmpty();
		assertThat(evaluate(AFTER, -1001)).isEmpty();
		assertThat(evaluate(AFTER, -1000)).isPresent();
	}

}
