package org.mulberrycross.router.relay;

import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.mulberrycross.ControlThread;
import org.mulberrycross.engine.CrashEvent;
import org.mulberrycross.platform.StoredObject;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against crash events that other daemons never learn of.
 */
class CrashEventSharingTest {

	private static final int WAIT_SECONDS = 10;

	private final MemoryStore store = new MemoryStore();

	private final BlockingQueue<Boolean> results = new LinkedBlockingQueue<>();

	/**
	 * Pattern: the store comes back from a copy that lacks an event. Fails if its daemon
	 * does not write it again: a daemon that starts later would send requests with a part
	 * that crashes engines.
	 */
	@Test
	void lostEventIsWrittenAgain() throws Exception {
		try (ControlThread controlThread = new ControlThread("control", 10);
				CrashEventSharing sharing = new CrashEventSharing(this.store, controlThread, (events) -> {
				}, new SplittableRandom(1))) {
			sharing.start();
			sharing.publish(new CrashEvent.TrialClaimed("part", 5), this.results::add);
			assertThat(this.results.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
			Map<String, StoredObject> written = Map.copyOf(this.store.objects);
			this.store.objects.clear();
			sharing.onStoreRestored();
			// The thread handles one after the other, so that the event is back by then.
			sharing.publish(new CrashEvent.TrialClaimed("other", 5), this.results::add);
			assertThat(this.results.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
			assertThat(this.store.objects.keySet()).containsAtLeastElementsIn(written.keySet());
		}
	}

}
