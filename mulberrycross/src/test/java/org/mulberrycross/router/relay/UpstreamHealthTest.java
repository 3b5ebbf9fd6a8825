package org.mulberrycross.router.relay;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against ejections of failed upstreams that are too short or too long.
 */
class UpstreamHealthTest {

	private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

	private final UpstreamHealth health = new UpstreamHealth();

	/**
	 * Fails if a dead engine costs an attempt every 250 ms. The engines before it in a
	 * path report it as saturated.
	 */
	@Test
	void repeatedSaturationLengthensEjection() {
		this.health.recordSaturation("e", 0);
		assertThat(this.health.isEjected("e", 249 * NANOS_PER_MILLI)).isTrue();
		assertThat(this.health.isEjected("e", 250 * NANOS_PER_MILLI)).isFalse();
		this.health.recordSaturation("e", 250 * NANOS_PER_MILLI);
		assertThat(this.health.isEjected("e", 749 * NANOS_PER_MILLI)).isTrue();
		for (long time = 750; time < 20_000; time++) {
			this.health.recordSaturation("e", time * NANOS_PER_MILLI);
		}
		assertThat(this.health.isEjected("e", 20_000 * NANOS_PER_MILLI)).isTrue();
		assertThat(this.health.isEjected("e", 24_000 * NANOS_PER_MILLI)).isFalse();
	}

	/** Fails if an engine that serves again keeps its long ejection. */
	@Test
	void successEndsEjection() {
		this.health.recordSaturation("e", 0);
		this.health.recordSaturation("e", 250 * NANOS_PER_MILLI);
		this.health.recordSuccess("e");
		assertThat(this.health.isEjected("e", 251 * NANOS_PER_MILLI)).isFalse();
		this.health.recordSaturation("e", 300 * NANOS_PER_MILLI);
		assertThat(this.health.isEjected("e", 550 * NANOS_PER_MILLI)).isFalse();
	}

	/**
	 * Fails if an upstream that keeps failing is used again as soon as after its first
	 * failure, or is never used again.
	 */
	@Test
	void consecutiveFailuresLengthenEjection() {
		this.health.recordFailure("e", "reset", 0);
		assertThat(this.health.isEjected("e", 1000 * NANOS_PER_MILLI)).isFalse();
		this.health.recordFailure("e", "reset", 1000 * NANOS_PER_MILLI);
		assertThat(this.health.isEjected("e", 2999 * NANOS_PER_MILLI)).isTrue();
		assertThat(this.health.isEjected("e", 3000 * NANOS_PER_MILLI)).isFalse();
	}

	/** Fails if an event of one stream ends the ejection of a stalled engine. */
	@Test
	void endOfSilenceKeepsOtherEjections() {
		this.health.recordSilence("silent", 0);
		this.health.recordSilence("stalled", 0);
		this.health.recordStall("stalled", 0);
		this.health.endSilence("silent");
		this.health.endSilence("stalled");
		assertThat(this.health.isEjected("silent", NANOS_PER_MILLI)).isFalse();
		assertThat(this.health.isStalled("stalled", NANOS_PER_MILLI)).isTrue();
	}

	/**
	 * Fails if a stalled engine cannot be distinguished from one that failed a request.
	 */
	@Test
	void distinguishesStalledFromFailed() {
		this.health.recordStall("s", 0);
		this.health.recordFailure("f", "reset", 0);
		assertThat(this.health.isStalled("s", NANOS_PER_MILLI)).isTrue();
		assertThat(this.health.isStalled("f", NANOS_PER_MILLI)).isFalse();
		assertThat(this.health.isStalled("s", 5000 * NANOS_PER_MILLI)).isFalse();
	}

}
