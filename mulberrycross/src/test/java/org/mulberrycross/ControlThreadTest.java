package org.mulberrycross;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against control state that nobody updates any more.
 */
class ControlThreadTest {

	private static final int TIMEOUT_SECONDS = 10;

	/** Fails if an Error in one run of a periodic event ends all further runs. */
	@Test
	void periodicEventGoesOnAfterError() throws Exception {
		CountDownLatch runs = new CountDownLatch(3);
		try (ControlThread thread = new ControlThread("control", 1)) {
			thread.scheduleWithFixedDelay(Duration.ofMillis(1), () -> {
				runs.countDown();
				throw new OutOfMemoryError("thrown by the test");
			});
			assertThat(runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
		}
	}

}
