package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.PeerException;
import org.mulberrycross.platform.ObjectPage;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;

/**
 * Traffic thread that follows all objects of one kind by listing and watching them. Every
 * call is bounded, so that a connection that has gone silent is noticed. Thread-safe.
 */
final class KindFollower implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(KindFollower.class);

	/**
	 * Wait of a watch while the store does not answer, so that its return is noticed
	 * within a second also if it is silent until then.
	 */
	private static final Duration WAIT_WHEN_LOST = Duration.ofMillis(100);

	/** Shortest pause after a failed call. */
	private static final int MIN_RETRY_MILLIS = 250;

	/** Longest pause after a failed call; all daemons come back within this time. */
	private static final int MAX_RETRY_MILLIS = 600;

	/** Objects asked for in one page. */
	private static final int PAGE_SIZE = 500;

	private final ObjectStore store;

	private final String kind;

	private final KindListener listener;

	private final WatchPace pace;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final CountDownLatch closed = new CountDownLatch(1);

	private final Thread thread;

	private boolean reachable = true;

	private boolean changedBefore;

	KindFollower(ObjectStore store, String kind, KindListener listener, WatchPace pace, MonotonicClock clock,
			RandomGenerator random) {
		this.store = Objects.requireNonNull(store, "store");
		this.kind = Objects.requireNonNull(kind, "kind");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.pace = Objects.requireNonNull(pace, "pace");
		this.clock = clock;
		this.random = random;
		this.thread = new Thread(this::run, "follow-" + kind);
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	private void run() {
		boolean listed = false;
		long revision = 0;
		while (!isClosed()) {
			try {
				if (!listed) {
					revision = list();
					listed = true;
				}
				WatchResult result = watch(revision);
				listed = !result.compacted();
				revision = result.revision();
			}
			catch (PeerException ex) {
				failed(ex);
			}
		}
	}

	private long list() throws PeerException {
		Freshness sent = Freshness.now(this.clock);
		List<StoredObject> objects = new ArrayList<>();
		ObjectPage page = this.store.list(Set.of(this.kind), "", PAGE_SIZE);
		// Changes made while pages are read are seen by a watch from the first page's
		// revision.
		long revision = page.revision();
		objects.addAll(page.objects());
		while (page.more() && !page.objects().isEmpty()) {
			page = this.store.list(Set.of(this.kind), page.objects().get(page.objects().size() - 1).name(), PAGE_SIZE);
			objects.addAll(page.objects());
		}
		succeeded();
		this.listener.listed(objects, sent);
		return revision;
	}

	private WatchResult watch(long revision) throws PeerException {
		Freshness sent = Freshness.now(this.clock);
		Duration wait = nextWait();
		WatchResult result = this.store.watch(Set.of(this.kind), revision, wait);
		succeeded();
		if (result.compacted()) {
			logger.atInfo().addKeyValue("kind", this.kind).addKeyValue("revision", revision).log("history is gone");
			return result;
		}
		boolean waited = (this.clock.nanos() - sent.steadyNanos()) >= wait.toNanos();
		this.changedBefore = !result.changes().isEmpty();
		this.listener.changed(result.changes(), (!this.changedBefore && waited) ? sent.plus(wait) : sent);
		if (this.changedBefore) {
			pause(this.pace.gathering().toMillis());
		}
		return result;
	}

	private Duration nextWait() {
		if (!this.reachable) {
			return WAIT_WHEN_LOST;
		}
		return this.changedBefore ? this.pace.waitAfterChange() : this.pace.longestWait();
	}

	private void succeeded() {
		if (!this.reachable) {
			this.reachable = true;
			this.listener.regained();
			logger.atInfo().addKeyValue("kind", this.kind).log("store answers again");
		}
	}

	private void failed(PeerException cause) {
		if (isClosed()) {
			return;
		}
		if (this.reachable) {
			this.reachable = false;
			this.listener.lost();
			logger.atWarn().addKeyValue("kind", this.kind).addKeyValue("cause", cause.toString()).log("store is lost");
		}
		pause(this.random.nextInt(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS));
	}

	private void pause(long millis) {
		try {
			this.closed.await(millis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			this.closed.countDown();
		}
	}

	private boolean isClosed() {
		return this.closed.getCount() == 0;
	}

	@Override
	public void close() {
		this.closed.countDown();
		this.thread.interrupt();
	}

}
