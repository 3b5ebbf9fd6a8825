package org.mulberrycross.router.relay;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that keep passing through slow engines, and against recovered
 * engines that stay unused.
 */
class EngineSlowdownsTest {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private final EngineSlowdowns slowdowns = new EngineSlowdowns();

	/** Fails if an old report makes an engine look slow after its recovery. */
	@Test
	void forgetsReportThatIsNotRefreshed() {
		this.slowdowns.record("engine", 12, 0);
		assertThat(this.slowdowns.slowdown("engine", SECOND)).isEqualTo(12);
		assertThat(this.slowdowns.slowdown("engine", 4 * SECOND)).isEqualTo(1);
		assertThat(this.slowdowns.dueForRefresh(4 * SECOND)).isEmpty();
	}

	/** Fails if a slow engine is not asked again before its report expires. */
	@Test
	void refreshesReportOfSlowEngine() {
		this.slowdowns.record("engine", 12, 0);
		assertThat(this.slowdowns.dueForRefresh(3 * SECOND)).isEmpty();
		assertThat(this.slowdowns.dueForRefresh(EngineSlowdowns.REFRESH_AGE.toNanos())).containsExactly("engine");
		this.slowdowns.record("engine", 1, EngineSlowdowns.REFRESH_AGE.toNanos());
		assertThat(this.slowdowns.slowdown("engine", 4 * SECOND)).isEqualTo(1);
		assertThat(this.slowdowns.dueForRefresh(4 * SECOND)).isEmpty();
	}

	/** Fails if the variation of sound engines is taken for slowness. */
	@Test
	void ignoresSmallFactors() {
		this.slowdowns.record("engine", 1.1, 0);
		assertThat(this.slowdowns.slowdown("engine", 0)).isEqualTo(1);
	}

}
