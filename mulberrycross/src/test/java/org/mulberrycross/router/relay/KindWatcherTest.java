package org.mulberrycross.router.relay;

import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.Test;

import org.mulberrycross.Address;
import org.mulberrycross.MonotonicClock;
import org.mulberrycross.NotRunException;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.StorePosition;
import org.mulberrycross.http.HttpClient;
import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.ObjectPage;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;
import org.mulberrycross.sibling.DataCentreHub;
import org.mulberrycross.sibling.http.ChangesCodec;
import org.mulberrycross.sibling.http.ChangesHandler;
import org.mulberrycross.sibling.http.HttpChangesClient;
import org.mulberrycross.sibling.http.SiblingServer;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against missed changes and against late detection of the store's recovery.
 */
class KindWatcherTest {

	private static final int POLL_TIMEOUT_SECONDS = 10;

	/** Longer than the time within which a failure counts as a rejection. */
	private static final int LOST_AFTER_MILLIS = 300;

	private static final String UNUSABLE = "unusable";

	private static final String EXHAUSTS_HEAP = "exhausts-heap";

	private static final WatchTiming TIMING = new WatchTiming(Duration.ofMillis(4000), Duration.ofDays(1),
			Duration.ofMillis(1), Duration.ofMinutes(10));

	/** Stands for a call that loses its connection after a while. */
	private static final WatchResult LOST_CONNECTION = new WatchResult(-1, List.of(), false);

	private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();

	private final BlockingQueue<String> notifications = new LinkedBlockingQueue<>();

	private final BlockingQueue<ClockReading> confirmations = new LinkedBlockingQueue<>();

	/** The positions of the next lists; then 5, in a store that names no eras. */
	private final BlockingQueue<StorePosition> lists = new LinkedBlockingQueue<>();

	private final ChangeFeed feed = new ChangeFeed(MonotonicClock.system());

	private KindWatcher newWatcher(BlockingQueue<WatchResult> results) {
		return newWatcher(results, SiblingWatch.NONE);
	}

	private KindWatcher newWatcher(BlockingQueue<WatchResult> results, SiblingWatch siblings) {
		return new KindWatcher(new FakeStore(results), "servers", new RecordingListener(),
				new ChangeSharing(siblings, this.feed, new WatchMetrics(new MetricRegistry(), "servers")), () -> TIMING,
				() -> this.calls.add("wait for recovery"), MonotonicClock.system(), new SplittableRandom(1));
	}

	// Records the query and returns the next reply; one with revision 0 stands for none.
	private SiblingWatch siblings(BlockingQueue<WatchResult> replies) {
		return (after, confirmedAsOf, trust) -> {
			this.calls.add("ask sibling after " + after.revision());
			WatchResult reply = replies.poll();
			return Optional.ofNullable(reply)
				.filter((known) -> known.revision() > 0)
				.map((known) -> new SiblingChanges(known, confirmedAsOf));
		};
	}

	private static WatchResult result(long revision, boolean compacted, String... names) {
		List<ObjectChange> changes = List.of(names)
			.stream()
			.map((name) -> new ObjectChange("servers/" + name, revision, Optional.empty()))
			.toList();
		return new WatchResult(revision, changes, compacted);
	}

	private static WatchResult eraResult(long era, long revision, String name) {
		return new WatchResult(StorePosition.of(era, revision),
				List.of(new ObjectChange("servers/" + name, revision, Optional.empty())), false);
	}

	private String poll(BlockingQueue<String> queue) throws InterruptedException {
		return queue.poll(POLL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Fails if a watch has a long timeout while the store is unavailable. A watch that
	 * was sent just before the store recovered then kept a daemon from serving for 3.6 s.
	 */
	@Test
	void detectsStoreRecoveryQuickly() throws Exception {
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(
				List.of(result(0, false), result(7, false, "a")));
		try (KindWatcher watcher = newWatcher(results)) {
			watcher.start();
			assertThat(poll(this.calls)).isEqualTo("list");
			assertThat(poll(this.calls)).isEqualTo("watch 5 for 4000");
			assertThat(poll(this.calls)).isEqualTo("wait for recovery");
			assertThat(poll(this.calls)).isEqualTo("watch 5 for 100");
			assertThat(poll(this.notifications)).isEqualTo("listed");
			assertThat(poll(this.notifications)).isEqualTo("unavailable");
			assertThat(poll(this.notifications)).isEqualTo("available");
			assertThat(poll(this.notifications)).isEqualTo("changed 1");
		}
	}

	/**
	 * Fails if a connection that breaks while the store is available is followed by a
	 * pause, or counts as an outage of the store, so that removed upstreams get requests
	 * for two more seconds.
	 */
	@Test
	void lostConnectionIsReplacedAtOnce() throws Exception {
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(List.of(LOST_CONNECTION, result(7, false, "a")));
		try (KindWatcher watcher = newWatcher(results)) {
			watcher.start();
			assertThat(poll(this.calls)).isEqualTo("list");
			assertThat(poll(this.calls)).isEqualTo("watch 5 for 4000");
			assertThat(poll(this.calls)).isEqualTo("watch 5 for 100");
			assertThat(poll(this.notifications)).isEqualTo("listed");
			assertThat(poll(this.notifications)).isEqualTo("unavailable");
			assertThat(poll(this.notifications)).isEqualTo("connection replaced");
			assertThat(poll(this.notifications)).isEqualTo("changed 1");
		}
	}

	/**
	 * Fails if an outage is taken for a lost connection, so that entries which lapsed
	 * during it are removed before their upstreams could register again.
	 */
	@Test
	void secondFailureIsAnOutage() throws Exception {
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(
				List.of(LOST_CONNECTION, LOST_CONNECTION, result(7, false, "a")));
		try (KindWatcher watcher = newWatcher(results)) {
			watcher.start();
			assertThat(poll(this.notifications)).isEqualTo("listed");
			assertThat(poll(this.notifications)).isEqualTo("unavailable");
			assertThat(poll(this.notifications)).isEqualTo("available");
			assertThat(poll(this.notifications)).isEqualTo("changed 1");
			assertThat(this.calls).contains("wait for recovery");
		}
	}

	/**
	 * Fails if keys become too old to be accepted because a watch that returned changes
	 * is followed by one with the full timeout.
	 */
	@Test
	void confirmsChangesWithinMaxAge() throws Exception {
		WatchTiming shortAge = new WatchTiming(Duration.ofMillis(4000), Duration.ofMillis(300), Duration.ofMillis(1),
				Duration.ofMillis(200));
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(List.of(result(7, false, "a")));
		try (KindWatcher watcher = new KindWatcher(new FakeStore(results), "servers", new RecordingListener(),
				new StoreSharing(Optional.empty(), new MetricRegistry(), MonotonicClock.system()).share("servers"),
				() -> shortAge, KindWatcher.NO_RECOVERY_WAIT, MonotonicClock.system(), new SplittableRandom(1))) {
			watcher.start();
			assertThat(poll(this.calls)).isEqualTo("list");
			assertThat(poll(this.calls)).isEqualTo("watch 5 for 300");
			assertThat(poll(this.calls)).isEqualTo("watch 7 for 300");
		}
	}

	/**
	 * Fails if a change that cannot be applied ends the thread, after which the daemon no
	 * longer follows the list.
	 */
	@Test
	void listsAgainAfterChangeThatCannotBeApplied() throws Exception {
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(
				List.of(result(6, false, UNUSABLE), result(7, false, "a")));
		try (KindWatcher watcher = newWatcher(results)) {
			watcher.start();
			assertThat(poll(this.notifications)).isEqualTo("listed");
			assertThat(poll(this.notifications)).isEqualTo("listed");
			assertThat(poll(this.notifications)).isEqualTo("changed 1");
		}
	}

	/**
	 * Pattern: an answer of the store exhausts the heap. Fails if the Error ends the
	 * thread, after which the daemon never follows the list again.
	 */
	@Test
	void listsAgainAfterError() throws Exception {
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(
				List.of(result(6, false, EXHAUSTS_HEAP), result(7, false, "a")));
		try (KindWatcher watcher = newWatcher(results)) {
			watcher.start();
			assertThat(poll(this.notifications)).isEqualTo("listed");
			assertThat(poll(this.notifications)).isEqualTo("listed");
			assertThat(poll(this.notifications)).isEqualTo("changed 1");
		}
	}

	/** Fails if changes are missed after the watch history was compacted. */
	@Test
	void relistsAfterCompaction() throws Exception {
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(List.of(result(5, true), result(8, false, "a")));
		try (KindWatcher watcher = newWatcher(results)) {
			watcher.start();
			assertThat(poll(this.calls)).isEqualTo("list");
			assertThat(poll(this.calls)).isEqualTo("watch 5 for 4000");
			assertThat(poll(this.calls)).isEqualTo("list");
			assertThat(poll(this.calls)).startsWith("watch 5");
		}
	}

	/**
	 * Pattern: the store comes back from an older copy and has given the revision of the
	 * watch out again. Fails if the daemon goes on from there, so that it misses what was
	 * written below that revision for good (incident 49).
	 */
	@Test
	void listsAgainInNewEra() throws Exception {
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(
				List.of(eraResult(1, 6, "a"), eraResult(2, 9, "b"), eraResult(2, 10, "c")));
		this.lists.addAll(List.of(StorePosition.of(1, 5), StorePosition.of(2, 8)));
		try (KindWatcher watcher = newWatcher(results)) {
			watcher.start();
			assertThat(poll(this.calls)).isEqualTo("list");
			assertThat(poll(this.calls)).startsWith("watch 5");
			assertThat(poll(this.calls)).startsWith("watch 6");
			assertThat(poll(this.calls)).isEqualTo("list");
			assertThat(poll(this.calls)).startsWith("watch 8");
			for (String expected : List.of("listed", "changed 1", "restored", "listed", "changed 1")) {
				assertThat(poll(this.notifications)).isEqualTo(expected);
			}
		}
	}

	/**
	 * Pattern: the store comes back from an older copy below the revision of the watch,
	 * which it answers 410. Fails if upstreams whose entries are gone are removed before
	 * they have written them again.
	 */
	@Test
	void compactionInNewEraIsReturnFromCopy() throws Exception {
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(
				List.of(new WatchResult(StorePosition.of(2, 5), List.of(), true)));
		this.lists.addAll(List.of(StorePosition.of(1, 5), StorePosition.of(2, 3)));
		try (KindWatcher watcher = newWatcher(results)) {
			watcher.start();
			for (String expected : List.of("listed", "restored", "listed")) {
				assertThat(poll(this.notifications)).isEqualTo(expected);
			}
		}
	}

	/**
	 * Pattern: one response of the store lacks the header that names the era. Fails if
	 * its changes are applied at an unknown position, or if this counts as a new era.
	 */
	@Test
	void listsAgainAfterResponseWithoutEra() throws Exception {
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(List.of(result(9, false, "b")));
		this.lists.addAll(List.of(StorePosition.of(1, 5), StorePosition.of(1, 9)));
		try (KindWatcher watcher = newWatcher(results)) {
			watcher.start();
			assertThat(poll(this.notifications)).isEqualTo("listed");
			assertThat(poll(this.notifications)).isEqualTo("listed");
			assertThat(this.notifications).isEmpty();
		}
	}

	/**
	 * Pattern: a hub is lost together with a store that comes back from a copy. Fails if
	 * the daemon waits for the end of a long watch, which nothing ends, to learn of it.
	 */
	@Test
	void firstWatchAfterSiblingIsShort() throws Exception {
		BlockingQueue<WatchResult> replies = new LinkedBlockingQueue<>(List.of(eraResult(1, 7, "a")));
		this.lists.addAll(List.of(StorePosition.of(1, 5)));
		try (KindWatcher watcher = newWatcher(new LinkedBlockingQueue<>(List.of(eraResult(1, 8, "b"))),
				siblings(replies))) {
			watcher.start();
			assertThat(poll(this.calls)).isEqualTo("list");
			assertThat(poll(this.calls)).isEqualTo("ask sibling after 5");
			assertThat(poll(this.calls)).isEqualTo("ask sibling after 7");
			assertThat(poll(this.calls)).isEqualTo("watch 7 for 100");
			assertThat(poll(this.calls)).isEqualTo("ask sibling after 8");
			assertThat(poll(this.calls)).isEqualTo("watch 8 for 4000");
		}
	}

	/** Fails if a list is used whose first pages were read before the store was away. */
	@Test
	void pagesOfTwoErasAreNoList() {
		BlockingQueue<StorePosition> pages = new LinkedBlockingQueue<>(
				List.of(StorePosition.of(1, 5), StorePosition.of(2, 4)));
		StoredObject object = new StoredObject("servers/a", 1, new byte[0]);
		assertThrows(PeerException.class,
				() -> KindWatcher.listAll(
						(kinds, after, limit) -> new ObjectPage(pages.remove(), List.of(object), !pages.isEmpty()),
						"servers"));
	}

	/**
	 * Pattern: a daemon follows a sibling that then falls silent. Fails if it lists all
	 * objects again in place of one watch at the revision that it knows, if it takes the
	 * loss of the sibling for an outage of the store, or if it does not return to it.
	 */
	@Test
	void continuesAtTheStoreAndReturnsToSibling() throws Exception {
		BlockingQueue<WatchResult> replies = new LinkedBlockingQueue<>(
				List.of(result(7, false, "a"), result(0, false), result(11, false, "c")));
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(List.of(result(9, false, "b")));
		try (KindWatcher watcher = newWatcher(results, siblings(replies))) {
			watcher.start();
			assertThat(poll(this.calls)).isEqualTo("list");
			assertThat(poll(this.calls)).isEqualTo("ask sibling after 5");
			assertThat(poll(this.calls)).isEqualTo("ask sibling after 7");
			assertThat(poll(this.calls)).startsWith("watch 7 for ");
			assertThat(poll(this.calls)).isEqualTo("ask sibling after 9");
			assertThat(poll(this.calls)).isEqualTo("ask sibling after 11");
			assertThat(poll(this.notifications)).isEqualTo("listed");
			for (int i = 0; i < 3; i++) {
				assertThat(poll(this.notifications)).isEqualTo("changed 1");
			}
			assertThat(this.notifications).isEmpty();
		}
	}

	/**
	 * Pattern: a hub knows less than this daemon, then more. Fails if the confirmation of
	 * the keys goes back, or does not move on with the hub.
	 */
	@Test
	void keepsLatestConfirmation() throws Exception {
		Deque<Integer> offsets = new ArrayDeque<>(List.of(-1000, 50));
		SiblingWatch siblings = (revision, confirmedAsOf, trust) -> Optional.ofNullable(offsets.poll())
			.map((offset) -> new SiblingChanges(result(7, false, "a"), confirmedAsOf.plus(Duration.ofMillis(offset))));
		try (KindWatcher watcher = newWatcher(new LinkedBlockingQueue<>(), siblings)) {
			watcher.start();
			ClockReading listed = this.confirmations.poll(POLL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
			assertThat(this.confirmations.poll(POLL_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(listed);
			assertThat(this.confirmations.poll(POLL_TIMEOUT_SECONDS, TimeUnit.SECONDS))
				.isEqualTo(listed.plus(Duration.ofMillis(50)));
		}
	}

	/**
	 * Pattern: the store is down. Fails if a sibling is asked before the store has
	 * answered again: entries that lapsed meanwhile would be removed at once.
	 */
	@Test
	void asksNoSiblingWhileStoreIsUnavailable() throws Exception {
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(
				List.of(result(0, false), result(7, false, "a")));
		BlockingQueue<WatchResult> replies = new LinkedBlockingQueue<>();
		try (KindWatcher watcher = newWatcher(results, siblings(replies))) {
			watcher.start();
			assertThat(poll(this.calls)).isEqualTo("list");
			assertThat(poll(this.calls)).isEqualTo("ask sibling after 5");
			assertThat(poll(this.calls)).startsWith("watch 5 for ");
			assertThat(poll(this.calls)).isEqualTo("wait for recovery");
			assertThat(poll(this.calls)).isEqualTo("watch 5 for 100");
			assertThat(poll(this.calls)).isEqualTo("ask sibling after 7");
		}
	}

	/**
	 * Pattern: the hub's process is killed between two answers. Fails if its follower
	 * does not go on at the store with the change that it had heard last.
	 */
	@Test
	void goesOnAtTheStoreWhenHubDies() throws Exception {
		Address address = new Address("127.0.0.1", freePort());
		ChangeFeed hubFeed = new ChangeFeed(MonotonicClock.system());
		hubFeed.restart(StorePosition.of(5), ClockReading.now(MonotonicClock.system()));
		BlockingQueue<WatchResult> results = new LinkedBlockingQueue<>(List.of(result(9, false, "b")));
		try (SiblingServer server = new SiblingServer(address); HttpClient client = new HttpClient(1)) {
			server.register(ChangesCodec.PATH, new ChangesHandler(Map.of("servers", (query, onReply) -> {
				Runnable withdrawal = hubFeed.request(query, onReply);
				this.calls.add("ask hub after " + query.after().revision());
				return withdrawal;
			}), "b"::equals));
			server.start();
			Runnable killHub = server::close;
			HubWatch hubWatch = new HubWatch("servers", new SingleHub(address), new HttpChangesClient(client, "b"),
					MonotonicClock.system());
			try (KindWatcher watcher = newWatcher(results, hubWatch)) {
				watcher.start();
				assertThat(poll(this.calls)).isEqualTo("list");
				assertThat(poll(this.calls)).isEqualTo("ask hub after 5");
				hubFeed.append(StorePosition.of(5), result(7, false, "a"), ClockReading.now(MonotonicClock.system()));
				assertThat(poll(this.calls)).isEqualTo("ask hub after 7");
				killHub.run();
				assertThat(poll(this.calls)).isEqualTo("avoid hub");
				assertThat(poll(this.calls)).startsWith("watch 7 for ");
				assertThat(poll(this.notifications)).isEqualTo("listed");
				assertThat(poll(this.notifications)).isEqualTo("changed 1");
				assertThat(poll(this.notifications)).isEqualTo("changed 1");
			}
		}
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	/** Names one hub until it fails. */
	private final class SingleHub implements DataCentreHub {

		private Optional<Address> hub;

		private SingleHub(Address hub) {
			this.hub = Optional.of(hub);
		}

		@Override
		public Optional<Address> address(long nowNanos) {
			return this.hub;
		}

		@Override
		public void recordFailure(Address failed, long nowNanos) {
			this.hub = Optional.empty();
			KindWatcherTest.this.calls.add("avoid hub");
		}

	}

	/**
	 * Returns queued watch results; a result with revision 0 stands for a failed call.
	 */
	private final class FakeStore implements ObjectStore {

		private final BlockingQueue<WatchResult> results;

		private FakeStore(BlockingQueue<WatchResult> results) {
			this.results = results;
		}

		@Override
		public ObjectPage list(Set<String> kinds, String after, int limit) {
			KindWatcherTest.this.calls.add("list");
			StorePosition position = KindWatcherTest.this.lists.poll();
			return new ObjectPage((position != null) ? position : StorePosition.of(5), List.of(), false);
		}

		@Override
		public WatchResult watch(Set<String> kinds, StorePosition after, Duration timeout) throws PeerException {
			KindWatcherTest.this.calls.add("watch " + after.revision() + " for " + timeout.toMillis());
			try {
				WatchResult result = this.results.take();
				if (result.revision() == 0) {
					throw new NotRunException(Step.WATCH, new Peer(Peer.Kind.PLATFORM, ""), "no answer");
				}
				if (result == LOST_CONNECTION) {
					TimeUnit.MILLISECONDS.sleep(LOST_AFTER_MILLIS);
					throw new OutcomeUnknownException(Step.WATCH, new Peer(Peer.Kind.PLATFORM, ""), "closed", null);
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

	/** Records the notifications of the watcher. */
	private final class RecordingListener implements KindListener {

		@Override
		public void onListed(List<StoredObject> objects, ClockReading asOf) {
			KindWatcherTest.this.confirmations.add(asOf);
			KindWatcherTest.this.notifications.add("listed");
		}

		@Override
		public void onChanged(List<ObjectChange> changes, ClockReading asOf) {
			if (changes.stream().anyMatch((change) -> change.key().endsWith(UNUSABLE))) {
				throw new IllegalArgumentException("unusable");
			}
			if (changes.stream().anyMatch((change) -> change.key().endsWith(EXHAUSTS_HEAP))) {
				throw new OutOfMemoryError("thrown by the test");
			}
			KindWatcherTest.this.confirmations.add(asOf);
			KindWatcherTest.this.notifications.add("changed " + changes.size());
		}

		@Override
		public void onStoreRestored() {
			KindWatcherTest.this.notifications.add("restored");
		}

		@Override
		public void onStoreUnavailable() {
			KindWatcherTest.this.notifications.add("unavailable");
		}

		@Override
		public void onStoreAvailable() {
			KindWatcherTest.this.notifications.add("available");
		}

		@Override
		public void onConnectionReplaced() {
			KindWatcherTest.this.notifications.add("connection replaced");
		}

	}

}
