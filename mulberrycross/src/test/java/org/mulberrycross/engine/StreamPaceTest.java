package org.mulberrycross.engine;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against taking usual pauses of a stream for silence.
 */
class StreamPaceTest {

	private static final int PAUSES = 100;

	/**
	 * Fails if pauses within the usual variation count as significant, or if the silence
	 * that does is not tied to the stream's own pace.
	 */
	@Test
	void significantSilenceFollowsOwnPace() {
		StreamPace even = StreamPace.initial();
		StreamPace uneven = StreamPace.initial();
		SplittableRandom random = new SplittableRandom(1);
		for (int i = 0; i < PAUSES; i++) {
			even = even.withPause(40);
			double pause = 20 + 40 * random.nextDouble();
			if (uneven.isKnown()) {
				assertThat(pause).isLessThan(uneven.significantNanos());
			}
			uneven = uneven.withPause(pause);
		}
		assertThat(even.significantNanos()).isWithin(0.001).of(80);
		assertThat(uneven.significantNanos()).isGreaterThan(even.significantNanos());
		assertThat(uneven.meanNanos()).isWithin(10).of(40);
	}

}
