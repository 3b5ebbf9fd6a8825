package org.mulberrycross.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;

import static com.google.common.truth.Truth.assertThat;

/**
 * Verifies ejection and readmission of engines, and the limit on ejected capacity.
 */
class EngineHealthTest {

	private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

	private final EngineHealth health = new EngineHealth();

	private final Set<String> ejected = new HashSet<>();

	private long nowNanos = 1;

	/** Fails if a single lost probe ejects an engine. */
	@Test
	void ejectsAfterTheSecondFailedProbe() {
		assertThat(recordFailure("a", "b")).isEmpty();
		assertThat(recordFailure("a", "b")).containsExactly(new HealthAction.Eject("a"));
	}

	/** Fails if failures before a successful probe still count. */
	@Test
	void resetsFailureCountAfterAnAnswer() {
		recordFailure("a", "b");
		this.health.recordSuccess("a");
		assertThat(recordFailure("a", "b")).isEmpty();
	}

	/** Fails if the last engine of a layer is ejected. */
	@Test
	void keepsTheLastEngineOfALayer() {
		for (int i = 0; i < 5; i++) {
			assertThat(recordFailure("a")).isEmpty();
		}
	}

	/** Fails if more than half of the engines of a layer are ejected. */
	@Test
	void keepsHalfOfTheEnginesOfALayer() {
		String[] engines = { "a", "b", "c", "d", "e" };
		for (String engine : engines) {
			recordFailure(engine, engines);
			recordFailure(engine, engines);
		}
		assertThat(this.ejected).containsExactly("a", "b");
	}

	/**
	 * Fails if trials start without backoff, overlap, or do not back off exponentially.
	 */
	@Test
	void retriesWithExponentialBackoff() {
		recordFailure("a", "b");
		recordFailure("a", "b");
		List<Long> trials = new ArrayList<>();
		for (int tick = 0; tick < 200; tick++) {
			this.nowNanos += SECOND_NANOS / 2;
			for (HealthAction action : this.health.startDueProbes(this.nowNanos)) {
				assertThat(action).isEqualTo(new HealthAction.Probe("a"));
				assertThat(this.health.startDueProbes(this.nowNanos)).isEmpty();
				trials.add((this.nowNanos - 1) / SECOND_NANOS);
				assertThat(this.health.recordProbeResult("a", false, this.nowNanos)).isEmpty();
			}
		}
		assertThat(trials).containsExactly(1L, 3L, 7L, 15L, 31L, 61L, 91L).inOrder();
	}

	/**
	 * Fails if a successful trial does not readmit the engine, or a failure soon after
	 * readmission resets the backoff.
	 */
	@Test
	void readmitsAfterASuccessfulTrialAndBacksOffLongerAfterARelapse() {
		recordFailure("a", "b");
		recordFailure("a", "b");
		this.nowNanos += SECOND_NANOS;
		this.health.startDueProbes(this.nowNanos);
		assertThat(this.health.recordProbeResult("a", true, this.nowNanos))
			.containsExactly(new HealthAction.Readmit("a"));
		this.ejected.clear();
		recordFailure("a", "b");
		recordFailure("a", "b");
		assertThat(this.health.startDueProbes(this.nowNanos + SECOND_NANOS)).isEmpty();
		assertThat(this.health.startDueProbes(this.nowNanos + 2 * SECOND_NANOS))
			.containsExactly(new HealthAction.Probe("a"));
	}

	private List<HealthAction> recordFailure(String engine, String... engines) {
		List<EngineState> states = new ArrayList<>();
		Set<String> names = new HashSet<>(List.of(engines));
		names.add(engine);
		for (String name : names) {
			states.add(new EngineState(name, new Address("127.0.0.1", 1), "d", "k", "m", new LayerRange(0, 4),
					Optional.empty(), 0, 0, this.ejected.contains(name), false));
		}
		List<HealthAction> actions = this.health.recordFailure(engine, new EngineView(this.nowNanos, states));
		actions.forEach((action) -> this.ejected.add(action.engine()));
		return actions;
	}

}
