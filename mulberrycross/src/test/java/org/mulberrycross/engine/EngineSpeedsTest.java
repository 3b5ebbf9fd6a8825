package org.mulberrycross.engine;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against slow engines that are noticed late, and against sound engines that are
 * taken for slow. Pattern: engines turn slow while streams run on them.
 */
class EngineSpeedsTest {

	private static final long STEP_NANOS = 100_000_000;

	private final EngineSpeeds speeds = new EngineSpeeds();

	private int streams;

	private static EnginePath path(String first, String second) {
		return new EnginePath(List.of(
				new PathStage(TestEngines.engineWithLayers(first, "slow", "dc", 0, 40), new LayerRange(0, 40)),
				new PathStage(TestEngines.engineWithLayers(second, "slow", "dc", 40, 80), new LayerRange(40, 80))));
	}

	private void record(String first, String second, double millisPerEvent, long nowNanos) {
		this.speeds.record("s" + this.streams++, path(first, second), TestEngines.PROFILE, millisPerEvent, nowNanos);
	}

	@BeforeEach
	void runUsualStreams() {
		for (int i = 0; i < 20; i++) {
			record("a", "b", 50, 0);
		}
	}

	private Optional<EngineSpeeds.SlowEngine> slowEngine(String first, String second, long nowNanos) {
		return this.speeds.slowEngine(path(first, second), nowNanos);
	}

	/**
	 * Fails if an engine is not noticed that slows down all streams that run on it, or if
	 * one is blamed that shares its streams with sound ones.
	 */
	@Test
	void namesSlowEngineAndClearsItsNeighbours() {
		long nowNanos = 30 * STEP_NANOS;
		record("slow", "b", 275, nowNanos);
		assertThat(slowEngine("slow", "b", nowNanos)).isEqualTo(Optional.empty());
		record("slow", "c", 275, nowNanos);
		record("a", "b", 50, nowNanos);
		record("a", "c", 55, nowNanos);
		assertThat(slowEngine("slow", "b", nowNanos).map(EngineSpeeds.SlowEngine::id)).isEqualTo(Optional.of("slow"));
		assertThat(slowEngine("slow", "c", nowNanos).orElseThrow().slowdown()).isWithin(0.01).of(10);
		assertThat(slowEngine("a", "b", nowNanos)).isEqualTo(Optional.empty());
	}

	/**
	 * Pattern of scale-2 of a fleet of 25 daemons: four engines that hold the layers of
	 * the same paths were all taken for slow. Fails if engines that always run together
	 * are blamed together.
	 */
	@Test
	void blamesNoneOfSeveralPossibleEngines() {
		record("x", "y", 275, 0);
		record("x", "y", 275, 0);
		assertThat(slowEngine("x", "y", 0)).isEqualTo(Optional.empty());
	}

	/** Fails if an engine is avoided for good, or its history is kept. */
	@Test
	void forgetsSlowEngineWithoutStreams() {
		record("slow", "b", 275, 0);
		record("slow", "c", 275, 0);
		assertThat(slowEngine("slow", "b", STEP_NANOS)).isNotEqualTo(Optional.empty());
		assertThat(slowEngine("slow", "b", 21 * STEP_NANOS)).isEqualTo(Optional.empty());
	}

	/** Fails if engines are taken for slow because the load of the fleet has grown. */
	@Test
	void followsPaceOfAllStreams() {
		for (int i = 0; i < 100; i++) {
			record("a" + i % 5, "b" + i % 7, 200, 30 * STEP_NANOS);
		}
		for (int i = 0; i < 20; i++) {
			record("a" + i % 5, "b" + i % 7, 200, 60 * STEP_NANOS);
		}
		assertThat(slowEngine("a1", "b1", 60 * STEP_NANOS)).isEqualTo(Optional.empty());
	}

}
