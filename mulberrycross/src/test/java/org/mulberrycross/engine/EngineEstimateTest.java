package org.mulberrycross.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.PeerException;
import org.mulberrycross.RetryBudget;
import org.mulberrycross.operator.Configuration;
import org.mulberrycross.operator.UpstreamObject;

import static com.google.common.truth.Truth.assertThat;

/**
 * Verifies the estimates that are derived from step replies, and the retry budget.
 */
class EngineEstimateTest {

	/**
	 * Fails if a new engine is overloaded, or its limit stays small although the engine
	 * keeps up.
	 */
	@Test
	void limitStartsSmallAndGrowsInUse() {
		EngineEstimate estimate = EngineEstimate.initial();
		assertThat(estimate.streamLimit()).isAtMost(4);
		for (int i = 0; i < 30; i++) {
			estimate = estimate.withSample(sample(8, 0), (int) estimate.streamLimit());
		}
		assertThat(estimate.streamLimit()).isAtLeast(64);
	}

	/** Fails if the limit grows although few streams use it. */
	@Test
	void limitStaysWhenUnused() {
		EngineEstimate estimate = EngineEstimate.initial();
		for (int i = 0; i < 30; i++) {
			estimate = estimate.withSample(sample(1, 0), 1);
		}
		assertThat(estimate.streamLimit()).isEqualTo(4.0);
	}

	/**
	 * Fails if the limit is not reduced when several batches are queued at the engine.
	 */
	@Test
	void limitShrinksWithTheQueue() {
		EngineEstimate estimate = new EngineEstimate(100, false, 1000, StepTimeModel.initial(), 0);
		estimate = estimate.withSample(sample(16, 80), 100);
		assertThat(estimate.streamLimit()).isLessThan(100.0);
		assertThat(estimate.congested()).isTrue();
	}

	/** Fails if the wait for a batch counts as link time. */
	@Test
	void linkTimeIsTheMinimumOverhead() {
		EngineLoad load = new EngineLoad(1, 0, 16, 5000, false);
		StepSample sample = StepSample.of(load, 0, 25_000).plus(StepSample.of(load, 1, 6000));
		assertThat(EngineEstimate.initial().withSample(sample, 1).linkMicros()).isEqualTo(1000.0);
	}

	/** Fails if the dependence of step time on batch size is not fitted. */
	@Test
	void stepTimeGrowsWithTheBatchSize() {
		StepTimeModel model = StepTimeModel.initial();
		for (int i = 0; i < 200; i++) {
			int batch = 1 + i % 16;
			model = model.withSample(batch, 4000 + 250 * batch);
		}
		assertThat(model.expectedMicros(16)).isWithin(400).of(8000);
		assertThat(model.expectedMicros(2)).isWithin(600).of(4500);
	}

	/** Fails if steps are not summed into one sample, or are lost or counted twice. */
	@Test
	void collectorSumsStepsUntilDrained() throws PeerException {
		Queue<Long> clockReadings = new ArrayDeque<>(List.of(0L, 7_000_000L, 10_000_000L, 16_000_000L));
		Stage stage = new Stage("e", new Address("127.0.0.1", 1), new LayerRange(0, 1));
		StepRequest step = new StepRequest("s", 1, "m", "v", "", stage.layers(), 0, new long[1], 0);
		StepCollector collector = new StepCollector((to, request, timeout) -> new StepReply("s", 1, "v", stage.layers(),
				0, 1, new long[1], "", new EngineLoad(2, 3, 16, 5000, false)), clockReadings::remove);
		collector.step(stage, step, Duration.ofSeconds(1));
		collector.step(stage, step, Duration.ofSeconds(1));
		Map<String, StepSample> samples = collector.drainSamples();
		assertThat(samples.get("e").stepCount()).isEqualTo(2);
		assertThat(samples.get("e").meanQueued()).isEqualTo(3.0);
		assertThat(samples.get("e").minLinkMicros()).isEqualTo(1000);
		assertThat(collector.drainSamples()).isEmpty();
	}

	/** Fails if an engine that was ejected by mistake loses its estimate. */
	@Test
	void ejectionKeepsTheEstimate() {
		EngineTable table = new EngineTable(new LeavingUpstreams());
		table.configure(
				Configuration.of(1, List.of(UpstreamObject.engine("e1", "127.0.0.1:1", "d", "fast", "m", 0, 8))));
		table.applySamples(Map.of("e1", sample(8, 0)));
		EngineEstimate estimateBefore = table.view(0).engine("e1").orElseThrow().estimate();
		table.setEjected("e1", true);
		assertThat(table.view(0).engine("e1").orElseThrow().isAvailable()).isFalse();
		table.setEjected("e1", false);
		assertThat(table.view(0).engine("e1").orElseThrow().isAvailable()).isTrue();
		assertThat(table.view(0).engine("e1").orElseThrow().estimate()).isEqualTo(estimateBefore);
	}

	/**
	 * Fails if a sample is not applied, or a new engine does not inherit the step times
	 * of a similar one, or inherits its stream limit.
	 */
	@Test
	void tableAppliesSamplesAndNewEnginesInheritEstimates() {
		EngineTable table = new EngineTable(new LeavingUpstreams());
		UpstreamObject first = UpstreamObject.engine("e1", "127.0.0.1:1", "d", "fast", "m", 0, 8);
		table.configure(Configuration.of(1, List.of(first)));
		table.applySamples(Map.of("e1", sample(8, 0), "unknown", sample(8, 0)));
		assertThat(table.view(0).engine("e1").orElseThrow().load()).isPresent();
		table.configure(Configuration.of(2,
				List.of(first, UpstreamObject.engine("e2", "127.0.0.1:2", "d", "fast", "m", 0, 8))));
		EngineEstimate estimate = table.view(0).engine("e2").orElseThrow().estimate();
		assertThat(estimate.stepTimeModel().meanMicros()).isEqualTo(5000.0);
		assertThat(estimate.streamLimit()).isAtMost(4);
	}

	/** Fails if retries exceed the initial budget plus the given fraction of calls. */
	@Test
	void retriesAreLimitedRelativeToCalls() {
		RetryBudget budget = new RetryBudget(0.1, 2);
		assertThat(budget.tryRetry()).isTrue();
		assertThat(budget.tryRetry()).isTrue();
		assertThat(budget.tryRetry()).isFalse();
		for (int i = 0; i < 11; i++) {
			budget.recordCall();
		}
		assertThat(budget.tryRetry()).isTrue();
		assertThat(budget.tryRetry()).isFalse();
	}

	private static StepSample sample(int running, int queued) {
		return StepSample.of(new EngineLoad(running, queued, 16, 5000, false), 0, 6000);
	}

}
