package org.mulberrycross;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a process that runs on without one of its tasks.
 */
class SupervisorTest {

	private final List<String> ends = new ArrayList<>();

	private long nowNanos;

	private final Supervisor supervisor = new Supervisor("follow", () -> this.nowNanos, this.ends::add);

	private void fail() throws InterruptedException {
		boolean completed = this.supervisor.run(() -> {
			throw new OutOfMemoryError("thrown by the test");
		});
		assertThat(completed).isFalse();
	}

	/** Fails if a task that only ever fails goes on for good, deaf to its peer. */
	@Test
	void endsProcessWhenErrorsGoOn() throws InterruptedException {
		for (int second = 0; second < Supervisor.MAX_FAILING_TIME.toSeconds(); second++) {
			fail();
			this.nowNanos += Duration.ofSeconds(1).toNanos();
		}
		assertThat(this.ends).isEmpty();
		fail();
		assertThat(this.ends).hasSize(1);
	}

	/** Fails if single errors, each of which the task recovered from, end the process. */
	@Test
	void goesOnAfterErrorsWithBreaks() throws InterruptedException {
		for (int i = 0; i < 100; i++) {
			fail();
			this.nowNanos += Supervisor.RECOVERY_TIME.toNanos();
		}
		assertThat(this.ends).isEmpty();
	}

	/** Fails if a fault in one round of a task reaches its thread, which would end. */
	@Test
	void goesOnAfterFault() throws InterruptedException {
		boolean completed = this.supervisor.run(() -> {
			throw new IllegalStateException("thrown by the test");
		});
		assertThat(completed).isFalse();
		assertThat(this.ends).isEmpty();
	}

}
