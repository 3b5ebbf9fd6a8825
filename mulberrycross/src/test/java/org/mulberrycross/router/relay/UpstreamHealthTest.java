package org.mulberrycross.router.relay;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards how long upstreams that fail are left alone.
 */
class UpstreamHealthTest {

	private static final long MILLI = Duration.ofMillis(1).toNanos();

	private final UpstreamHealth health = new UpstreamHealth();

	/**
	 * Fails if a dead engine, for which the engines before it answer that there is no
	 * room, costs a try every quarter of a second.
	 */
	@Test
	void upstreamThatStaysFullIsAvoidedForLonger() {
		this.health.full("e", 0);
		assertThat(this.health.avoided("e", 249 * MILLI)).isTrue();
		assertThat(this.health.avoided("e", 250 * MILLI)).isFalse();
		this.health.full("e", 250 * MILLI);
		assertThat(this.health.avoided("e", 749 * MILLI)).isTrue();
		for (long time = 750; time < 20_000; time++) {
			this.health.full("e", time * MILLI);
		}
		assertThat(this.health.avoided("e", 20_000 * MILLI)).isTrue();
		assertThat(this.health.avoided("e", 24_000 * MILLI)).isFalse();
	}

	/** Fails if an engine that serves again keeps its long avoidance. */
	@Test
	void successEndsAvoidance() {
		this.health.full("e", 0);
		this.health.full("e", 250 * MILLI);
		this.health.succeeded("e");
		assertThat(this.health.avoided("e", 251 * MILLI)).isFalse();
		this.health.full("e", 300 * MILLI);
		assertThat(this.health.avoided("e", 550 * MILLI)).isFalse();
	}

	/**
	 * Fails if an upstream that fails again and again is asked as often as at first, or
	 * is never asked again.
	 */
	@Test
	void failuresInARowLengthenAvoidance() {
		this.health.failed("e", "reset", 0);
		assertThat(this.health.avoided("e", 1000 * MILLI)).isFalse();
		this.health.failed("e", "reset", 1000 * MILLI);
		assertThat(this.health.avoided("e", 2999 * MILLI)).isTrue();
		assertThat(this.health.avoided("e", 3000 * MILLI)).isFalse();
	}

	/** Fails if a stalled engine cannot be told from one that failed a request. */
	@Test
	void stalledUpstreamIsToldApart() {
		this.health.stalled("s", 0);
		this.health.failed("f", "reset", 0);
		assertThat(this.health.stalledNow("s", MILLI)).isTrue();
		assertThat(this.health.stalledNow("f", MILLI)).isFalse();
		assertThat(this.health.stalledNow("s", 5000 * MILLI)).isFalse();
	}

}
