package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.NotRunException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.ObjectPage;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against changes that are missed and against a return of the store that is
 * noticed late.
 */
class KindFollowerTest {

	private static final int WAIT_SECONDS = 10;

	private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();

	private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();

	private KindFollower follower(BlockingQueue<WatchResult> results) {
		return new KindFollower(new FakeStore(results), "servers", new Recorder(), WatchPace.UPSTREAMS,
				MonotonicClock.system(), new SplittableRandom(1));
	}

	private static WatchResult result(long revision, boolean compacted, String... names) {
		List<ObjectChange> changes = List.of(names)
			.stream()
			.map((name) -> new ObjectChange("servers/" + name, revision, Optional.empty()))
			.toList();
		return new WatchResult(revision, changes, compacted);
	}

	private String next(BlockingQueue<String> queue) throws InterruptedException {
		return queue.poll(WAIT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Fails if a watch waits for long while the store does not answer: in siamslot-bkk
	 * trouble-3 a call that was sent just before the store's return kept a daemon from
	 * serving for 3.6 s.
	 */
	@Test
	void returnOfStoreIsNoticedSoon() throws Exception {
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(
				List.of(result(0, false), result(7, false, "a")));
		try (KindFollower follower = follower(results)) {
			follower.start();
			assertThat(next(this.calls)).isEqualTo("list");
			assertThat(next(this.calls)).isEqualTo("watch 5 for 4000");
			assertThat(next(this.calls)).isEqualTo("watch 5 for 100");
			assertThat(next(this.heard)).isEqualTo("listed");
			assertThat(next(this.heard)).isEqualTo("lost");
			assertThat(next(this.heard)).isEqualTo("regained");
			assertThat(next(this.heard)).isEqualTo("changed 1");
		}
	}

	/** Fails if changes are missed after the history was dropped. */
	@Test
	void listsAgainWhenHistoryIsGone() throws Exception {
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(List.of(result(5, true), result(8, false, "a")));
		try (KindFollower follower = follower(results)) {
			follower.start();
			assertThat(next(this.calls)).isEqualTo("list");
			assertThat(next(this.calls)).isEqualTo("watch 5 for 4000");
			assertThat(next(this.calls)).isEqualTo("list");
			assertThat(next(this.calls)).startsWith("watch 5");
		}
	}

	/**
	 * Answers watches from a queue; revision 0 stands for no answer.
	 */
	private final class FakeStore implements ObjectStore {

		private final BlockingQueue<WatchResult> results;

		private FakeStore(BlockingQueue<WatchResult> results) {
			this.results = results;
		}

		@Override
		public ObjectPage list(Set<String> kinds, String after, int limit) {
			KindFollowerTest.this.calls.add("list");
			return new ObjectPage(5, List.of(), false);
		}

		@Override
		public WatchResult watch(Set<String> kinds, long afterRevision, Duration timeout) throws PeerException {
			KindFollowerTest.this.calls.add("watch " + afterRevision + " for " + timeout.toMillis());
			try {
				WatchResult result = this.results.take();
				if (result.revision() == 0) {
					throw new NotRunException(Step.WATCH, new Peer(Peer.Kind.PLATFORM, ""), "no answer");
				}
				return result;
			}
			catch (InterruptedException ex) {
				throw new NotRunException(Step.WATCH, new Peer(Peer.Kind.PLATFORM, ""), "interrupted", ex);
			}
		}

		@Override
		public Optional<StoredObject> read(String key) {
			return Optional.empty();
		}

		@Override
		public OptionalLong create(String key, byte[] value) {
			return OptionalLong.empty();
		}

		@Override
		public OptionalLong replace(String key, byte[] value, long expectedVersion) {
			return OptionalLong.empty();
		}

		@Override
		public boolean delete(String key, long expectedVersion) {
			return false;
		}

	}

	/**
	 * Records what the follower tells.
	 */
	private final class Recorder implements KindListener {

		@Override
		public void listed(List<StoredObject> objects, Freshness asOf) {
			KindFollowerTest.this.heard.add("listed");
		}

		@Override
		public void changed(List<ObjectChange> changes, Freshness asOf) {
			KindFollowerTest.this.heard.add("changed " + changes.size());
		}

		@Override
		public void lost() {
			KindFollowerTest.this.heard.add("lost");
		}

		@Override
		public void regained() {
			KindFollowerTest.this.heard.add("regained");
		}

	}

}
