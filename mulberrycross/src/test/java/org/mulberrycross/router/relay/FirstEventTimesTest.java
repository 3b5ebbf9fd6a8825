package org.mulberrycross.router.relay;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a wave of engine probes while a burst delays all requests alike.
 */
class FirstEventTimesTest {

	private final FirstEventTimes times = new FirstEventTimes();

	/** Fails if one path that is slower than the others is not noticed. */
	@Test
	void noticesSingleSlowPath() {
		recordTimes(60, 50);
		assertThat(this.times.isUnusual(Duration.ofMillis(250))).isTrue();
	}

	/** Fails if the engines of each path are probed during an overload. */
	@Test
	void acceptsTimesThatAllRequestsHave() {
		recordTimes(60, 50);
		recordTimes(400, 30);
		assertThat(this.times.isUnusual(Duration.ofMillis(600))).isFalse();
	}

	private void recordTimes(int millis, int count) {
		for (int i = 0; i < count; i++) {
			this.times.record(Duration.ofMillis(millis));
		}
	}

}
