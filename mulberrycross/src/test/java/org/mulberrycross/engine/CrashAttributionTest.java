package org.mulberrycross.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against prompts that crash one engine after the other, and against the blame of
 * prompts that do not.
 */
class CrashAttributionTest {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final CrashAttribution attribution = new CrashAttribution();

	// Records the loss of an engine with one request, after the losses known so far.
	private void lose(String engineId, long nowNanos, String... parts) {
		Map<String, Integer> known = this.attribution.crashCounts(List.of(parts));
		Map<String, Integer> numbers = new HashMap<>();
		List.of(parts).forEach((part) -> numbers.put(part, known.getOrDefault(part, 0) + 1));
		this.attribution.record(new CrashEvent.EngineLost(engineId, List.of(new CrashCandidate(numbers))), nowNanos);
	}

	private boolean isSuspected(long nowNanos, String... parts) {
		return this.attribution.suspicion(List.of(parts), nowNanos).isPresent();
	}

	/** Fails if a part goes on to crash engines, or one loss alone raises suspicion. */
	@Test
	void suspectsPartAfterTwoLossesInARow() {
		lose("e1", 0, "dead");
		assertThat(isSuspected(0, "dead")).isFalse();
		lose("e2", 0, "dead");
		assertThat(isSuspected(0, "dead")).isTrue();
		assertThat(isSuspected(0, "sound", "dead")).isTrue();
		assertThat(isSuspected(0, "sound")).isFalse();
	}

	/**
	 * Fails if engines that are lost at the same moment, as with a rack, cast suspicion
	 * on a part that requests on each of them had.
	 */
	@Test
	void countsSimultaneousLossesOnce() {
		CrashCandidate candidate = new CrashCandidate(Map.of("hot", 1));
		List.of("e1", "e2", "e3")
			.forEach((engine) -> this.attribution.record(new CrashEvent.EngineLost(engine, List.of(candidate)), 0));
		assertThat(isSuspected(0, "hot")).isFalse();
	}

	/** Fails if a part stays suspected although a request with it began. */
	@Test
	void answerThatBeginsClearsItsParts() {
		lose("e1", 0, "part");
		lose("e2", 0, "part");
		assertThat(this.attribution.recordBegun(List.of("part", "other"), 0)).containsExactly("part");
		assertThat(isSuspected(0, "part")).isFalse();
		assertThat(this.attribution.recordBegun(List.of("part"), 0)).isEmpty();
	}

	/**
	 * Fails if sound requests are refused with a part that always came with the deadly
	 * one, or the deadly one is used with other parts once that part is cleared.
	 */
	@Test
	void suspectsPartsThatCameTogetherOnlyTogether() {
		lose("e1", 0, "system", "dead");
		lose("e2", 0, "system", "dead");
		assertThat(isSuspected(0, "system", "dead")).isTrue();
		assertThat(isSuspected(0, "system")).isFalse();
		assertThat(isSuspected(0, "other", "dead")).isFalse();
		this.attribution.recordBegun(List.of("system"), 0);
		assertThat(isSuspected(0, "other", "dead")).isTrue();
		assertThat(isSuspected(0, "system")).isFalse();
	}

	/**
	 * Fails if a part with which requests began a moment ago is suspected as soon as an
	 * unknown one, or never.
	 */
	@Test
	void needsMoreLossesForPartThatBeganRecently() {
		this.attribution.recordBegun(List.of("known"), 0);
		lose("e1", 0, "known");
		lose("e2", 0, "known");
		assertThat(isSuspected(0, "known")).isFalse();
		lose("e3", 0, "known");
		assertThat(isSuspected(0, "known")).isTrue();
	}

	/**
	 * Fails if a request that was lost beside the deadly one each time is refused,
	 * although requests with its part began shortly before.
	 */
	@Test
	void doesNotBlamePartThatWasLostBesideTheDeadlyOne() {
		this.attribution.recordBegun(List.of("known"), 0);
		for (String engine : List.of("e1", "e2", "e3")) {
			lose(engine, 0, "dead");
			lose(engine, 0, "known");
		}
		assertThat(isSuspected(0, "dead")).isTrue();
		assertThat(isSuspected(0, "known")).isFalse();
	}

	/**
	 * Fails if a part is refused alone because one sound request with it was lost beside
	 * the deadly ones, which all had it too.
	 */
	@Test
	void blamesThePartThatRefusesFewerRequests() {
		lose("e1", 0, "system", "dead");
		lose("e2", 0, "system", "dead");
		lose("e2", 0, "system");
		assertThat(isSuspected(0, "system", "dead")).isTrue();
		assertThat(isSuspected(0, "system")).isFalse();
	}

	/**
	 * Fails if a part that crashes many engines at the same moment is used again when
	 * they are back.
	 */
	@Test
	void suspectsPartThatManyEnginesWereLostWith() {
		CrashCandidate candidate = new CrashCandidate(Map.of("dead", 1));
		List.of("e1", "e2", "e3", "e4", "e5")
			.forEach((engine) -> this.attribution.record(new CrashEvent.EngineLost(engine, List.of(candidate)), 0));
		assertThat(isSuspected(0, "dead")).isTrue();
	}

	/**
	 * Fails if the loss of an engine in a trial, of which other requests on it are known
	 * first, withdraws the suspicion.
	 */
	@Test
	void keepsSuspicionUntilLossIsReportedByAll() {
		lose("e1", 0, "dead");
		lose("e2", 0, "dead");
		lose("e3", 6 * SECOND, "sound");
		assertThat(isSuspected(6 * SECOND, "dead")).isTrue();
		assertThat(isSuspected(7 * SECOND, "dead")).isFalse();
	}

	/** Fails if many parts are suspected because engines are lost to something else. */
	@Test
	void suspectsNoneOfManyPartsWithTheSameLosses() {
		for (String engine : List.of("e1", "e2")) {
			for (int part = 0; part < 8; part++) {
				lose(engine, 0, "part-" + part);
			}
		}
		assertThat(isSuspected(0, "part-0")).isFalse();
		lose("e3", 0, "part-0");
		assertThat(isSuspected(0, "part-0")).isTrue();
	}

	/** Fails if a suspected part is never tried again, or crashes an engine too often. */
	@Test
	void triesSuspectedPartAfterLongerAndLongerTimes() {
		lose("e1", 0, "dead");
		lose("e2", 0, "dead");
		assertThat(this.attribution.suspicion(List.of("dead"), SECOND).orElseThrow().untilTrial())
			.isEqualTo(Duration.ofSeconds(4));
		assertThat(this.attribution.suspicion(List.of("dead"), 5 * SECOND).orElseThrow().isTrialDue()).isTrue();
		this.attribution.record(new CrashEvent.TrialClaimed("dead", 2), 5 * SECOND);
		assertThat(this.attribution.suspicion(List.of("dead"), 5 * SECOND).orElseThrow().isTrialDue()).isFalse();
		lose("e3", 6 * SECOND, "dead");
		assertThat(this.attribution.suspicion(List.of("dead"), 6 * SECOND).orElseThrow().untilTrial())
			.isEqualTo(Duration.ofSeconds(20));
		assertThat(CrashAttribution.holdAfter(100)).isEqualTo(Duration.ofMinutes(10));
	}

	/** Fails if an event that is received twice counts twice. */
	@Test
	void ignoresRepeatedEvents() {
		CrashEvent loss = new CrashEvent.EngineLost("e1", List.of(new CrashCandidate(Map.of("part", 1))));
		this.attribution.record(loss, 0);
		this.attribution.record(loss, 0);
		assertThat(this.attribution.crashCounts(List.of("part"))).containsExactly("part", 1);
	}

}
