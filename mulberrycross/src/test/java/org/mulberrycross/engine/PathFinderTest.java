package org.mulberrycross.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Verifies that paths run each layer once and in order, are the fastest ones, and avoid
 * engines with queued prompts and saturated ones.
 */
class PathFinderTest {

	private static final RequestTokens TOKENS = new RequestTokens(774, 210);

	private final PathFinder finder = new PathFinder(TestEngines.PROFILE);

	private Optional<EnginePath> find(List<EngineInstance> engines, long seed) {
		return this.finder.find(engines, TOKENS, (engine) -> 1, (engine) -> 0, new SplittableRandom(seed));
	}

	/**
	 * Fails if a path skips a layer, runs one twice or uses an engine for layers that it
	 * does not hold.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void pathsCoverAllLayersOnce(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<EngineInstance> engines = new ArrayList<>();
		for (int i = 0; i < 40; i++) {
			int first = random.nextInt(75);
			int end = Math.min(80, first + 5 + random.nextInt(20));
			engines.add(TestEngines.engineWithLayers("e" + i, "slow", "dc-" + random.nextInt(3), first, end));
		}
		engines.add(TestEngines.engineWithLayers("first", "slow", "dc-0", 0, 12));
		engines.add(TestEngines.engineWithLayers("last", "slow", "dc-0", 70, 80));
		Optional<EnginePath> path = find(engines, seed);
		if (path.isEmpty()) {
			return;
		}
		int nextLayer = 0;
		for (PathStage stage : path.get().stages()) {
			assertThat(stage.layers().first()).isEqualTo(nextLayer);
			assertThat(stage.engine().layers().orElseThrow().contains(stage.layers())).isTrue();
			nextLayer = stage.layers().end();
		}
		assertThat(nextLayer).isEqualTo(80);
	}

	/** Fails if a path is chosen although another one has a shorter expected time. */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void findsFastestPath(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		List<EngineInstance> engines = new ArrayList<>();
		List<String> kinds = List.of("large", "medium", "slow");
		for (int i = 0; i < 12; i++) {
			int first = 20 * random.nextInt(4);
			int end = Math.min(80, first + 20 * (1 + random.nextInt(2)));
			engines.add(TestEngines.engineWithLayers("e" + i, kinds.get(random.nextInt(3)), "dc-" + random.nextInt(3),
					first, end));
		}
		// A random source of zeros disables the jitter.
		Optional<EnginePath> path = this.finder.find(engines, TOKENS, (engine) -> 1, (engine) -> 0, () -> 0);
		double min = minMillis(engines, List.of(), 0);
		assertThat(path.isPresent()).isEqualTo(Double.isFinite(min));
		path.ifPresent((found) -> assertThat(millis(found.stages())).isWithin(1e-6).of(min));
	}

	private static double minMillis(List<EngineInstance> engines, List<PathStage> stages, int nextLayer) {
		if (nextLayer == 80) {
			return millis(stages);
		}
		double min = Double.POSITIVE_INFINITY;
		for (EngineInstance engine : engines) {
			LayerRange held = engine.layers().orElseThrow();
			if (held.first() <= nextLayer && nextLayer < held.end()) {
				List<PathStage> extended = new ArrayList<>(stages);
				extended.add(new PathStage(engine, new LayerRange(nextLayer, held.end())));
				min = Math.min(min, minMillis(engines, extended, held.end()));
			}
		}
		return min;
	}

	private static double millis(List<PathStage> stages) {
		double millis = 0;
		String previous = stages.get(0).engine().upstream().dataCentre();
		for (PathStage stage : stages) {
			AcceleratorKind kind = TestEngines.PROFILE.kind(stage.engine()).orElseThrow();
			double decodeMillis = TOKENS.output() * TestEngines.PROFILE.stepMillis() * kind.stepFactor();
			double prefillMillis = TOKENS.prompt() / TestEngines.PROFILE.prefillTokensPerMillis()
					* kind.prefillFactor();
			String dataCentre = stage.engine().upstream().dataCentre();
			millis += (decodeMillis + prefillMillis) * stage.layers().size() / 80 + 0.3 * (TOKENS.output() + 1)
					+ (dataCentre.equals(previous) ? 0 : 20_000);
			previous = dataCentre;
		}
		return millis;
	}

	/** Fails if a path is returned although a layer has no holder. */
	@Test
	void findsNoPathIfLayerIsMissing() {
		assertThat(find(List.of(TestEngines.engineWithLayers("a", "large", "dc", 0, 40),
				TestEngines.engineWithLayers("b", "large", "dc", 41, 80)), 1))
			.isEqualTo(Optional.empty());
	}

	/** Fails if a request crosses data centres although one of them holds all layers. */
	@Test
	void staysInOneDataCentre() {
		List<EngineInstance> engines = List.of(TestEngines.engineWithLayers("a0", "slow", "a", 0, 40),
				TestEngines.engineWithLayers("a1", "slow", "a", 40, 80),
				TestEngines.engineWithLayers("b0", "large", "b", 0, 40));
		EnginePath path = find(engines, 1).orElseThrow();
		assertThat(path.stages().stream().map((stage) -> stage.engine().id()).toList()).containsExactly("a0", "a1");
	}

	/** Fails if requests queue behind prompts while another model replica is idle. */
	@Test
	void avoidsEnginesWithQueuedPrompts() {
		List<EngineInstance> engines = List.of(TestEngines.engineWithLayers("fast", "large", "a", 0, 80),
				TestEngines.engineWithLayers("idle", "slow", "b", 0, 80));
		assertThat(find(engines, 1).orElseThrow().firstEngine().id()).isEqualTo("fast");
		Optional<EnginePath> loaded = this.finder.find(engines, TOKENS, (engine) -> 1,
				(engine) -> engine.id().equals("fast") ? 500_000 : 0, new SplittableRandom(1));
		assertThat(loaded.orElseThrow().firstEngine().id()).isEqualTo("idle");
	}

	/** Fails if a saturated engine is used. */
	@Test
	void excludesSaturatedEngines() {
		List<EngineInstance> engines = List.of(TestEngines.engineWithLayers("saturated", "large", "a", 0, 80));
		assertThat(this.finder.find(engines, TOKENS, (engine) -> Double.POSITIVE_INFINITY, (engine) -> 0,
				new SplittableRandom(1)))
			.isEqualTo(Optional.empty());
	}

	/**
	 * Fails if a path through loaded engines is preferred to one that crosses a link with
	 * room, or if it crosses a link without room.
	 */
	@Test
	void crossesLinkOnlyIfThatIsFaster() {
		List<EngineInstance> engines = List.of(TestEngines.engineWithLayers("first", "slow", "dc-0", 0, 40),
				TestEngines.engineWithLayers("loaded", "slow", "dc-0", 40, 80),
				TestEngines.engineWithLayers("far", "slow", "dc-1", 40, 80));
		assertThat(lastEngine(engines, 100)).isEqualTo("far");
		assertThat(lastEngine(engines, PathFinder.CROSS_DATA_CENTRE_PENALTY_MILLIS)).isEqualTo("loaded");
	}

	private String lastEngine(List<EngineInstance> engines, double crossingMillis) {
		EnginePath path = this.finder
			.find(engines, TOKENS, (engine) -> engine.id().equals("loaded") ? 4 : 1, (engine) -> 0, crossingMillis,
					() -> 0)
			.orElseThrow();
		assertThat(path.crossings()).isEqualTo(path.stages().get(1).engine().id().equals("far") ? 1 : 0);
		return path.stages().get(1).engine().id();
	}

	/**
	 * Fails if the time that is compared with the real one leaves out the queue, the load
	 * or the crossing of a path.
	 */
	@Test
	void tellsExpectedTimeOfPath() {
		EnginePath path = new EnginePath(List.of(
				new PathStage(TestEngines.engineWithLayers("a", "large", "dc-0", 0, 40), new LayerRange(0, 40)),
				new PathStage(TestEngines.engineWithLayers("b", "large", "dc-1", 40, 80), new LayerRange(40, 80))));
		double idleMillis = this.finder.expectedMillis(path, TOKENS, (engine) -> 1, (engine) -> 0, 0);
		assertThat(idleMillis).isWithin(1).of(210 * 1.02 * 2.4 + 774 / 164.0 * 3.2 + 2 * 211 * 0.3);
		double queueMillis = 1640 / 164.0 * 3.2;
		double loadedMillis = (idleMillis - 2 * 211 * 0.3) * 2 + 2 * 211 * 0.3;
		assertThat(this.finder.expectedMillis(path, TOKENS, (engine) -> 2, (engine) -> 1640, 100)).isWithin(1)
			.of(loadedMillis + queueMillis + 100);
	}

}
