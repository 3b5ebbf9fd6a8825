package org.mulberrycross.engine;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.UpstreamInstance;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against moves that are too late because their restart takes longer than
 * expected.
 */
class RestartTimesTest {

	private static final EngineProfile PROFILE = new EngineProfile(10, 100, 1, 2, 100, 100, 100, 1,
			Map.of("kind", new AcceleratorKind("kind", 2000, 3, 4)));

	/**
	 * Fails if the prefill of the tokens so far, or the queueing of an overload that
	 * others had to wait for, is left out.
	 */
	@Test
	void addsObservedQueueingToPrefill() {
		EnginePath path = path("model");
		RestartTimes times = new RestartTimes();
		assertThat(times.estimate(PROFILE, path, 1000).meanNanos()).isWithin(1).of(46e6);
		for (int i = 0; i < 50; i++) {
			times.record(PROFILE, path, 500, Duration.ofMillis(126));
		}
		assertThat(times.estimate(PROFILE, path, 1000).meanNanos()).isWithin(1e3).of(146e6);
	}

	/** Fails if the queueing at one service makes the restarts at another look longer. */
	@Test
	void learnsEachServiceByItself() {
		RestartTimes times = new RestartTimes();
		for (int i = 0; i < 50; i++) {
			times.record(PROFILE, path("crowded"), 500, Duration.ofMillis(100 + 10 * i));
		}
		assertThat(times.estimate(PROFILE, path("crowded"), 1000).meanNanos()).isAtLeast(300e6);
		assertThat(times.estimate(PROFILE, path("model"), 1000).meanNanos()).isWithin(1).of(46e6);
	}

	private static EnginePath path(String service) {
		UpstreamInstance instance = new UpstreamInstance("e", service, new Address("10.0.0.1", 80), "dc", false, 1, 1);
		return new EnginePath(List.of(new PathStage(
				new EngineInstance(instance, "kind", Optional.of(new LayerRange(0, 10)), 1), new LayerRange(0, 10))));
	}

}
