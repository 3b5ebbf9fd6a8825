package org.mulberrycross.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executor;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Verifies that streams complete with the correct output when engines fail, using
 * in-memory engines and a manual clock.
 */
class StepwiseRouteRunnerTest {

	private static final int MIN_STEPS = 10_000;

	private static final long[] PROMPT = { 5, 9, 2, 77, 31 };

	private static final long FOREVER = Long.MAX_VALUE;

	private final List<RecoveryEvent> events = new ArrayList<>();

	private final List<String> tokens = new ArrayList<>();

	private FakeEngines engines = new FakeEngines(new Random(1), 3);

	private RecoveryLimits limits = limits(1 << 20, 8);

	/**
	 * Fails if any mix of crashes, freezes, stalled connections and lost, late, stale or
	 * repeated replies changes, truncates or repeats a part of the output.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void outputIsCompleteUnderRandomFaults(long seed) throws PeerException {
		Random random = new Random(seed);
		this.engines = new FakeEngines(random, 4);
		int completed = 0;
		int failed = 0;
		for (int stream = 0; this.engines.stepCount < MIN_STEPS; stream++) {
			this.engines.faultPerMille = random.nextInt(30);
			this.limits = limits(random.nextBoolean() ? 1 << 20 : 200, 200);
			this.tokens.clear();
			this.engines.nowNanos += Duration.ofSeconds(1).toNanos();
			long[] prompt = random.longs(1 + random.nextInt(20), 0, 1000).toArray();
			int maxTokens = 1 + random.nextInt(60);
			List<String> expected = FakeEngines.expectedOutput(prompt, maxTokens);
			try {
				run(new StreamRequest("s" + stream, prompt, maxTokens, () -> 0));
				assertWithMessage("seed %s stream %s", seed, stream).that(this.tokens).isEqualTo(expected);
				completed++;
			}
			catch (PeerException ex) {
				assertWithMessage("seed %s stream %s", seed, stream).that(this.tokens)
					.isEqualTo(expected.subList(0, this.tokens.size()));
				assertThat(ex).hasMessageThat().contains("cannot continue at position");
				failed++;
			}
		}
		assertThat(completed).isGreaterThan(9 * failed);
		assertThat(this.events.stream().anyMatch(RecoveryEvent.StageReplaced.class::isInstance)).isTrue();
	}

	/**
	 * Fails if failures of one or two stages, in prefill or decode, change the output.
	 */
	@ParameterizedTest
	@CsvSource({ "0,0,crash", "1,0,crash", "2,0,freeze", "0,3,freeze", "1,3,crash", "2,3,freeze", "1,3,both" })
	void continuesAfterStageFailure(int stageIndex, int position, String fault) throws PeerException {
		Route route = this.engines.route();
		runWithFault(route, position, () -> {
			FakeEngines.Engine engine = this.engines.engine(route.stages().get(stageIndex).engine());
			if (fault.equals("freeze")) {
				engine.freeze(FOREVER);
				return;
			}
			engine.crash(FOREVER);
			if (fault.equals("both")) {
				this.engines.engine(route.stages().get(stageIndex + 1).engine()).crash(FOREVER);
			}
		});
		assertThat(this.engines.lastAttempt).isGreaterThan(1);
		assertThat(this.tokens).isEqualTo(FakeEngines.expectedOutput(PROMPT, 6));
	}

	/**
	 * Fails if other stages are recomputed although the inputs of the failed stage are
	 * retained, or if recomputed layers are not counted.
	 */
	@Test
	void recomputesOnlyTheFailedStageWhenInputsAreRetained() throws PeerException {
		Route route = this.engines.route();
		runWithFault(route, 3, () -> this.engines.engine(route.stages().get(1).engine()).crash(FOREVER));
		int positionsBeforeFault = PROMPT.length + 2;
		assertThat(recomputedLayerPasses()).isEqualTo(2L * positionsBeforeFault);
		assertThat(this.engines.layersRun).isEqualTo(6L * (PROMPT.length + 5) + recomputedLayerPasses());
	}

	/** Fails if a stream cannot recover after its retained inputs were dropped. */
	@Test
	void recomputesEarlierStagesWhenInputsWereDropped() throws PeerException {
		this.limits = limits(8, 8);
		Route route = this.engines.route();
		runWithFault(route, 3, () -> this.engines.engine(route.stages().get(1).engine()).crash(FOREVER));
		assertThat(this.tokens).isEqualTo(FakeEngines.expectedOutput(PROMPT, 6));
		int positionsBeforeFault = PROMPT.length + 2;
		assertThat(recomputedLayerPasses()).isAtLeast(2L * positionsBeforeFault + 2L * (positionsBeforeFault + 1));
		assertThat(this.engines.layersRun).isEqualTo(6L * (PROMPT.length + 5) + recomputedLayerPasses());
	}

	/** Fails if a leaving engine's cache is recomputed instead of transferred. */
	@Test
	void movesTheCacheOfAnEngineThatStillAnswers() throws PeerException {
		this.engines = new FakeEngines(new Random(1), 2);
		Route route = this.engines.route();
		runWithFault(route, 3, () -> this.engines.engine(route.stages().get(1).engine()).leave(FOREVER));
		assertThat(this.tokens).isEqualTo(FakeEngines.expectedOutput(PROMPT, 6));
		assertThat(this.events).contains(new RecoveryEvent.StageReplaced(route.stages().get(1).engine(), true));
		assertThat(recomputedLayerPasses()).isEqualTo(0);
	}

	/** Fails if a working engine is replaced because one connection stalls. */
	@Test
	void keepsTheEngineWhenOnlyAConnectionStalls() throws PeerException {
		Route route = this.engines.route();
		runWithFault(route, 3, () -> this.engines.engine(route.stages().get(1).engine()).stallConnections(FOREVER));
		assertThat(this.tokens).isEqualTo(FakeEngines.expectedOutput(PROMPT, 6));
		assertThat(this.events).contains(new RecoveryEvent.ProbeAnswered(route.stages().get(1).engine()));
		assertThat(this.events.stream().noneMatch(RecoveryEvent.StageReplaced.class::isInstance)).isTrue();
	}

	/** Fails if replacements are not limited, or the error does not state the reason. */
	@Test
	void failsAfterTheMaximumReplacements() {
		this.limits = limits(1 << 20, 1);
		Route route = this.engines.route();
		PeerException error = assertThrows(PeerException.class, () -> runWithFault(route, 3,
				() -> List.of("r1-0", "r1-1", "r1-2").forEach((name) -> this.engines.engine(name).crash(FOREVER))));
		assertThat(error.step()).isEqualTo(Step.REPLACE_STAGE);
		assertThat(error).hasMessageThat().contains("after 1 replacements");
		assertThat(this.tokens).hasSize(3);
	}

	/** Fails if recovery exceeds its maximum time when no engine answers. */
	@Test
	void failsWhenRecoveryTakesTooLong() {
		this.engines.splitsReplacements = false;
		this.limits = new RecoveryLimits(3, 1000, Duration.ofSeconds(4), Duration.ofMillis(300), Duration.ofMillis(500),
				Duration.ofMillis(300), 1 << 20, 4);
		Route route = this.engines.route();
		PeerException error = assertThrows(PeerException.class, () -> runWithFault(route, 3,
				() -> List.of("r1-0", "r1-1", "r1-2").forEach((name) -> this.engines.engine(name).freeze(FOREVER))));
		assertThat(error).hasMessageThat().contains("recovery took longer than 4000 ms");
		assertThat(this.engines.nowNanos).isAtMost(Duration.ofSeconds(5).toNanos());
	}

	/** Fails if a stream that reached no engine is not reported as safe to retry. */
	@Test
	void reportsNotRunWhenNoEngineWasReached() {
		Route route = this.engines.route();
		List.of("r0-0", "r0-1", "r0-2").forEach((name) -> this.engines.engine(name).crash(FOREVER));
		assertThrows(NotRunException.class, () -> runWithFault(route, -1, () -> {
		}));
	}

	/** Fails if engines keep the caches of a stream whose caller has disconnected. */
	@Test
	void cancelsWhenTheCallerDisconnects() {
		Route route = this.engines.route();
		StreamRequest request = new StreamRequest("s", PROMPT, 6, () -> 0);
		assertThrows(PeerException.class, () -> runner().run(request, route, this::replace, (index, text) -> {
			throw new PeerException(Step.WRITE_ANSWER, new Peer(Peer.Kind.CALLER, "t"), "disconnected");
		}));
		route.stages()
			.forEach((stage) -> assertThat(this.engines.engine(stage.engine()).cancelled).containsExactly("s"));
	}

	private void runWithFault(Route route, int position, Runnable fault) throws PeerException {
		if (position == 0) {
			fault.run();
		}
		runner().run(new StreamRequest("s", PROMPT, 6, () -> 0), route, this::replace, (index, text) -> {
			this.tokens.add(text);
			if (index + 1 == position) {
				fault.run();
			}
		});
	}

	private void run(StreamRequest request) throws PeerException {
		runner().run(request, this.engines.route(), this::replace, (index, text) -> {
			assertThat(index).isEqualTo(this.tokens.size());
			this.tokens.add(text);
		});
	}

	private Optional<List<Stage>> replace(Stage failedStage, Set<String> excluded) {
		return this.engines.chooseStages(failedStage.layers(), excluded);
	}

	private StepwiseRouteRunner runner() {
		Executor directExecutor = Runnable::run;
		return new StepwiseRouteRunner(this.engines.calls(),
				new StepTimeouts(Duration.ofMillis(100), Duration.ofMillis(400)), this.limits,
				(engine) -> Optional.empty(), this.events::add, () -> this.engines.nowNanos, directExecutor);
	}

	private long recomputedLayerPasses() {
		return this.events.stream()
			.filter(RecoveryEvent.LayersRecomputed.class::isInstance)
			.mapToLong((event) -> ((RecoveryEvent.LayersRecomputed) event).layerPasses())
			.sum();
	}

	private static RecoveryLimits limits(long maxRetainedBytes, int maxStageReplacements) {
		return new RecoveryLimits(3, maxStageReplacements, Duration.ofSeconds(10), Duration.ofMillis(300),
				Duration.ofMillis(500), Duration.ofMillis(300), maxRetainedBytes, 4);
	}

}
