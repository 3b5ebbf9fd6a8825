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
 * Traffic thread that lists all objects of one kind in the store and then watches them
 * for changes. Every call has a timeout, so that a connection that has gone silent is
 * detected. Thread-safe.
 */
final class KindWatcher implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(KindWatcher.class);

	/**
	 * Timeout of a watch while the store is unavailable. The recovery of the store is
	 * thus detected within a second, even if calls hang until then instead of failing.
	 */
	private static final Duration UNAVAILABLE_WATCH_TIMEOUT = Duration.ofMillis(100);

	private static final int MIN_RETRY_DELAY_MILLIS = 250;

	/**
	 * Upper bound of the random delay after a failed call; all daemons retry within it.
	 */
	private static final int MAX_RETRY_DELAY_MILLIS = 600;

	private static final int PAGE_SIZE = 500;

	private final ObjectStore store;

	private final String kind;

	private final KindListener listener;

	private final WatchTiming timing;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final CountDownLatch closed = new CountDownLatch(1);

	private final Thread thread;

	private boolean storeAvailable = true;

	private boolean lastWatchHadChanges;

	KindWatcher(ObjectStore store, String kind, KindListener listener, WatchTiming timing, MonotonicClock clock,
			RandomGenerator random) {
		this.store = Objects.requireNonNull(store, "store");
		this.kind = Objects.requireNonNull(kind, "kind");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.timing = Objects.requireNonNull(timing, "timing");
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
				recordFailure(ex);
			}
		}
	}

	private long list() throws PeerException {
		ClockReading sentAt = ClockReading.now(this.clock);
		List<StoredObject> objects = new ArrayList<>();
		ObjectPage page = this.store.list(Set.of(this.kind), "", PAGE_SIZE);
		// Watching from the first page's revision also returns changes that are made
		// while further pages are read.
		long revision = page.revision();
		objects.addAll(page.objects());
		while (page.more() && !page.objects().isEmpty()) {
			page = this.store.list(Set.of(this.kind), page.objects().get(page.objects().size() - 1).name(), PAGE_SIZE);
			objects.addAll(page.objects());
		}
		recordSuccess();
		this.listener.onListed(objects, sentAt);
		return revision;
	}

	private WatchResult watch(long revision) throws PeerException {
		ClockReading sentAt = ClockReading.now(this.clock);
		Duration timeout = nextWatchTimeout();
		WatchResult result = this.store.watch(Set.of(this.kind), revision, timeout);
		recordSuccess();
		if (result.compacted()) {
			logger.atInfo()
				.addKeyValue("kind", this.kind)
				.addKeyValue("revision", revision)
				.log("watch revision was compacted, listing again");
			return result;
		}
		boolean timedOut = (this.clock.nanos() - sentAt.monotonicNanos()) >= timeout.toNanos();
		this.lastWatchHadChanges = !result.changes().isEmpty();
		this.listener.onChanged(result.changes(),
				(!this.lastWatchHadChanges && timedOut) ? sentAt.plus(timeout) : sentAt);
		if (this.lastWatchHadChanges) {
			pause(this.timing.batchDelay().toMillis());
		}
		return result;
	}

	private Duration nextWatchTimeout() {
		if (!this.storeAvailable) {
			return UNAVAILABLE_WATCH_TIMEOUT;
		}
		return this.lastWatchHadChanges ? this.timing.timeoutAfterChange() : this.timing.watchTimeout();
	}

	private void recordSuccess() {
		if (!this.storeAvailable) {
			this.storeAvailable = true;
			this.listener.onStoreAvailable();
			logger.atInfo().addKeyValue("kind", this.kind).log("store is available again");
		}
	}

	private void recordFailure(PeerException cause) {
		if (isClosed()) {
			return;
		}
		if (this.storeAvailable) {
			this.storeAvailable = false;
			this.listener.onStoreUnavailable();
			logger.atWarn()
				.addKeyValue("kind", this.kind)
				.addKeyValue("cause", cause.toString())
				.log("store is unavailable");
		}
		pause(this.random.nextInt(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS));
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
