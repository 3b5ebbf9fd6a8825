package org.mulberrycross.engine;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against daemons that keep sending requests to engines without room, or that shut
 * out engines which have room again. Pattern: an engine that other daemons have filled,
 * and one that gives up its layers.
 */
class ObservedRoomTest {

	private final ObservedRoom room = new ObservedRoom();

	private void reject(long atMillis) {
		this.room.recordRejected("e1", 1000, 400, Duration.ofMillis(atMillis).toNanos());
	}

	private double unexpectedTokens(long atMillis) {
		return this.room.unexpectedTokens("e1", Duration.ofMillis(atMillis).toNanos());
	}

	/** Fails if an engine is not full after a rejection, or stays shut for good. */
	@Test
	void fadesAfterHold() {
		reject(0);
		assertThat(unexpectedTokens(0)).isEqualTo(600.0);
		assertThat(unexpectedTokens(250)).isEqualTo(600.0);
		assertThat(unexpectedTokens(500)).isEqualTo(300.0);
		assertThat(unexpectedTokens(750)).isEqualTo(0.0);
		assertThat(this.room.unexpectedTokens("e2", 0)).isEqualTo(0.0);
	}

	/**
	 * Fails if an engine that rejects whatever it is sent is tried at the same rate for
	 * good, or if rejections of requests sent together count as several.
	 */
	@Test
	void holdGrowsUntilSuccess() {
		reject(0);
		reject(10);
		assertThat(unexpectedTokens(740)).isLessThan(100.0);
		reject(800);
		assertThat(unexpectedTokens(1300)).isEqualTo(600.0);
		for (int i = 0; i < 10; i++) {
			reject(2300 + 4000 * i);
		}
		assertThat(unexpectedTokens(2300 + 36_000 + 4000)).isEqualTo(600.0);
		long laterNanos = Duration.ofMinutes(1).toNanos();
		this.room.recordSuccess("e1", laterNanos);
		reject(61_000);
		assertThat(unexpectedTokens(61_500)).isEqualTo(300.0);
	}

}
