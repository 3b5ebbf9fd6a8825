package org.mulberrycross.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Verifies the choice of routes by expected time.
 */
class ExpectedTimePolicyTest {

	private static final LayerRange ALL_LAYERS = new LayerRange(0, 24);

	private final ExpectedTimePolicy policy = new ExpectedTimePolicy(2, 2);

	/** Fails if one of the inputs of the expected time does not affect the choice. */
	@ParameterizedTest
	@CsvSource({ "step time, 20000, 0, 1000, 0, 0", "queue, 10000, 40, 1000, 0, 0", "link, 10000, 0, 100000, 0, 0",
			"own streams, 10000, 0, 1000, 60, 0", "own streams after an old report, 10000, 0, 1000, 60, 60" })
	void prefersTheFasterEngine(String input, long stepMicros, int queued, long linkMicros, int outstanding,
			int reportAgeSeconds) {
		long now = 100_000_000_000L;
		EngineState better = engine("better", ALL_LAYERS, 10_000, 0, 1000, 0, now);
		EngineState worse = engine("worse", ALL_LAYERS, stepMicros, queued, linkMicros, outstanding,
				now - reportAgeSeconds * 1_000_000_000L);
		int chosen = 0;
		Random random = new Random(1);
		for (int i = 0; i < 1000; i++) {
			chosen += choose(new EngineView(now, List.of(better, worse)), random).get(0).engine().equals("better") ? 1
					: 0;
		}
		// Four draws from two engines miss the better one in 1 of 16 cases.
		assertThat(chosen).isAtLeast(900);
		assertThat(chosen).isLessThan(1000);
	}

	/** Fails if an old report of a long queue weighs as much as a recent one. */
	@Test
	void oldReportsWeighLess() {
		long now = 100_000_000_000L;
		EngineState previouslyBusy = engine("old", ALL_LAYERS, 10_000, 40, 1000, 2, now - 60_000_000_000L);
		EngineState busyNow = engine("new", ALL_LAYERS, 10_000, 20, 1000, 2, now);
		Map<String, Integer> chosen = new HashMap<>();
		Random random = new Random(1);
		for (int i = 0; i < 1000; i++) {
			chosen.merge(choose(new EngineView(now, List.of(previouslyBusy, busyNow)), random).get(0).engine(), 1,
					Integer::sum);
		}
		assertThat(chosen.get("old")).isAtLeast(900);
	}

	/** Fails if an engine at its stream limit gets another stream. */
	@Test
	void respectsStreamLimits() {
		EngineState atLimit = engine("at-limit", ALL_LAYERS, 10_000, 0, 1000, 4, 0);
		RouteRequest request = new RouteRequest("m", "v", "", ALL_LAYERS, Set.of(), 1);
		EngineView view = new EngineView(0, List.of(atLimit));
		assertThat(this.policy.choose(request, view, new Random(1))).isEmpty();
		assertThat(choose(view, new Random(1))).hasSize(1);
	}

	/**
	 * Fails if, with random and overlapping layer ranges, a route skips or repeats a
	 * layer, uses an ineligible engine, or is not found although one exists.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void routesCoverOverlappingRanges(long seed) {
		Random random = new Random(seed);
		List<EngineState> engines = new ArrayList<>();
		for (int i = 0; i < 12; i++) {
			int first = random.nextInt(24);
			LayerRange layers = new LayerRange(first, first + 1 + random.nextInt(24 - first));
			engines.add(engine("e" + i, layers, 5000 + random.nextInt(20_000), random.nextInt(30),
					random.nextInt(100_000), random.nextInt(6), 0));
		}
		for (int event = 0; event < 10_000; event++) {
			int index = random.nextInt(engines.size());
			engines.set(index, engines.get(index).withOutstanding(random.nextInt(6)));
			EngineView view = new EngineView(event, engines);
			RouteRequest request = new RouteRequest("m", "v", "", ALL_LAYERS, Set.of("e" + random.nextInt(12)), 1);
			Optional<List<Stage>> stages = this.policy.choose(request, view, random);
			boolean covered = true;
			for (int layer = 0; layer < 24; layer++) {
				covered &= !view.candidates(request, layer).isEmpty();
			}
			assertThat(stages.isPresent()).isEqualTo(covered);
			if (covered) {
				assertThat(new Route("m", "v", "", stages.get()).layerCount()).isEqualTo(24);
				for (Stage stage : stages.get()) {
					EngineState engine = view.engine(stage.engine()).orElseThrow();
					assertThat(engine.layers().contains(stage.layers())).isTrue();
					assertThat(engine.outstanding()).isAtMost(3);
					assertThat(request.excludedEngines()).doesNotContain(stage.engine());
				}
			}
		}
	}

	private List<Stage> choose(EngineView view, Random random) {
		return this.policy.choose(new RouteRequest("m", "v", "", ALL_LAYERS, Set.of()), view, random).orElseThrow();
	}

	private static EngineState engine(String name, LayerRange layers, long stepMicros, int queued, long linkMicros,
			int outstanding, long loadNanos) {
		EngineEstimate estimate = new EngineEstimate(4, false, linkMicros,
				StepTimeModel.initial().withSample(8, stepMicros), 0);
		return new EngineState(name, new Address("127.0.0.1", 1), "d", "a", "m", layers,
				Optional.of(new EngineLoad(0, queued, 16, stepMicros, false)), loadNanos, outstanding, false, false,
				estimate);
	}

}
