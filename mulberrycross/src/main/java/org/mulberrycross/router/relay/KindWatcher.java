package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.OutcomeUnknownException;
import org.mulberrycross.Peer;
import org.mulberrycross.PeerException;
import org.mulberrycross.Step;
import org.mulberrycross.StorePosition;
import org.mulberrycross.Supervisor;
import org.mulberrycross.platform.ObjectPage;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.platform.WatchResult;

/**
 * Traffic thread that lists all objects of one kind in the store and then watches them
 * for changes, at a sibling that follows the store or at the store itself. Every call has
 * a timeout, so that a connection that has gone silent is detected. Thread-safe.
 */
final class KindWatcher implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(KindWatcher.class);

	/**
	 * Timeout of a watch that finds out whether the store is available again, and in
	 * which era. The recovery of the store is thus detected within a second, even if
	 * calls hang until then instead of failing.
	 */
	private static final Duration PROBE_WATCH_TIMEOUT = Duration.ofMillis(100);

	/** For the watcher that probes for the recovery of the store itself. */
	static final Runnable NO_RECOVERY_WAIT = () -> {
	};

	private static final int MIN_RETRY_DELAY_MILLIS = 250;

	/**
	 * Upper bound of the random delay after a failed call; all daemons retry within it.
	 */
	private static final int MAX_RETRY_DELAY_MILLIS = 600;

	/**
	 * Time within which a call that fails counts as rejected. A later failure means that
	 * the connection broke or went silent, and is followed by a call on another
	 * connection without a pause.
	 */
	private static final Duration MAX_REJECTION_TIME = Duration.ofMillis(250);

	/** Minimum timeout of a watch while the store is available. */
	private static final Duration MIN_WATCH_TIMEOUT = Duration.ofMillis(300);

	/**
	 * Maximum wait for another watcher to reach the store. Bounds the effect of a store
	 * that serves one kind of objects and not the other.
	 */
	private static final Duration MAX_RECOVERY_WAIT = Duration.ofSeconds(2);

	private static final int PAGE_SIZE = 500;

	private final ObjectStore store;

	private final String kind;

	private final KindListener listener;

	/** Asked for changes before the store. */
	private final SiblingWatch siblingWatch;

	/** Passes on to siblings what this watcher reads from the store. */
	private final ChangeFeed feed;

	private final WatchMetrics metrics;

	private final Supplier<WatchTiming> timing;

	/**
	 * Called after a failed call. Blocks while the watcher of another kind probes for the
	 * recovery of the store, so that an outage does not cost the calls of both.
	 */
	private final Runnable recoveryWait;

	private final MonotonicClock clock;

	private final RandomGenerator random;

	private final CountDownLatch closed = new CountDownLatch(1);

	private final Supervisor supervisor;

	private final Thread thread;

	private final Object availabilityMonitor = new Object();

	private boolean storeAvailable = true;

	/** Set by a lost connection until the next call has shown whether it is an outage. */
	private boolean connectionLost;

	/** The monotonic time in nanoseconds at which the last call began. */
	private long callStartedNanos;

	/**
	 * The position up to which the objects are known, meaningless before the first list.
	 */
	private StorePosition position = StorePosition.of(0);

	private ClockReading confirmedAsOf;

	/** Whether the last confirmation came from a sibling. */
	private boolean confirmedBySibling;

	KindWatcher(ObjectStore store, String kind, KindListener listener, ChangeSharing sharing,
			Supplier<WatchTiming> timing, Runnable recoveryWait, MonotonicClock clock, RandomGenerator random) {
		this.store = Objects.requireNonNull(store, "store");
		this.kind = Objects.requireNonNull(kind, "kind");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.siblingWatch = sharing.siblingWatch();
		this.feed = sharing.feed();
		this.metrics = sharing.metrics();
		this.timing = Objects.requireNonNull(timing, "timing");
		this.recoveryWait = Objects.requireNonNull(recoveryWait, "recoveryWait");
		this.clock = clock;
		this.random = random;
		this.supervisor = new Supervisor("follow-" + kind);
		this.thread = Supervisor.newThread("follow-" + kind, this::run);
	}

	void start() {
		this.thread.start();
	}

	private void run() {
		boolean listed = false;
		while (!isClosed()) {
			try {
				if (!listed) {
					list();
					listed = true;
				}
				Optional<WatchResult> heard = watchSibling();
				WatchResult result = heard.isPresent() ? heard.get() : watchStore();
				listed = !result.compacted();
				this.position = result.position();
			}
			catch (PeerException ex) {
				recordFailure(ex);
			}
			catch (RuntimeException ex) {
				// The thread must not end: nobody else follows the objects.
				logger.atError().addKeyValue("kind", this.kind).setCause(ex).log("objects not applied, listing again");
				listed = false;
				pause(this.random.nextInt(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS));
			}
			catch (Error ex) {
				// The changes that were not applied are in the next list.
				this.supervisor.recordError(ex);
				listed = false;
				pause(this.random.nextInt(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS));
			}
		}
	}

	private void list() throws PeerException {
		ClockReading sentAt = startCall();
		ObjectPage all = listAll(this.store::list, this.kind);
		recordSuccess();
		if (all.position().isLaterEra(this.position)) {
			this.metrics.countEra();
			this.listener.onStoreRestored();
		}
		this.position = all.position();
		this.confirmedAsOf = sentAt;
		this.confirmedBySibling = false;
		this.feed.restart(all.position(), sentAt);
		logger.atInfo()
			.addKeyValue("kind", this.kind)
			.addKeyValue("position", all.position())
			.addKeyValue("objects", all.objects().size())
			.log("objects listed");
		this.listener.onListed(all.objects(), sentAt);
	}

	// Lists the objects of all pages. Watching from the position, which is that of the
	// first page, also returns changes that are made while further pages are read. Fails
	// if the pages come from two eras, since the objects of the first ones may be lost.
	static ObjectPage listAll(PageReader reader, String kind) throws PeerException {
		List<StoredObject> objects = new ArrayList<>();
		ObjectPage page = reader.read(Set.of(kind), "", PAGE_SIZE);
		StorePosition first = page.position();
		objects.addAll(page.objects());
		while (page.more() && !page.objects().isEmpty()) {
			page = reader.read(Set.of(kind), page.objects().get(page.objects().size() - 1).name(), PAGE_SIZE);
			if (!page.position().isSameEra(first)) {
				throw new PeerException(Step.READ_OBJECT, new Peer(Peer.Kind.PLATFORM, ""),
						"pages of kind " + kind + " come from two eras: " + first + ", " + page.position());
			}
			objects.addAll(page.objects());
		}
		return new ObjectPage(first, objects, false);
	}

	// Asks a sibling unless the store is unavailable: its recovery is told by the store.
	private Optional<WatchResult> watchSibling() {
		if (!this.storeAvailable) {
			return Optional.empty();
		}
		Optional<SiblingChanges> heard = this.siblingWatch.changesAfter(this.position, this.confirmedAsOf,
				this.timing.get().maxSiblingAge());
		if (heard.isEmpty()) {
			return Optional.empty();
		}
		if (heard.get().result().compacted()) {
			return heard.map(SiblingChanges::result);
		}
		this.feed.stopFollowingStore();
		ClockReading now = ClockReading.now(this.clock);
		ClockReading heardAsOf = heard.get().confirmedAsOf();
		if (heardAsOf.ageMillis(now) < this.confirmedAsOf.ageMillis(now)) {
			this.confirmedAsOf = heardAsOf;
		}
		this.confirmedBySibling = true;
		this.metrics.countSiblingWatch(Duration.ofMillis(this.confirmedAsOf.ageMillis(now)));
		WatchResult result = heard.get().result();
		logChanges("sibling", result);
		this.listener.onChanged(result.changes(), this.confirmedAsOf);
		return Optional.of(result);
	}

	private WatchResult watchStore() throws PeerException {
		ClockReading sentAt = startCall();
		Duration timeout = nextWatchTimeout();
		this.feed.startWatch(sentAt, timeout);
		WatchResult result = this.store.watch(Set.of(this.kind), this.position, timeout);
		recordSuccess();
		if (result.compacted()) {
			logger.atInfo()
				.addKeyValue("kind", this.kind)
				.addKeyValue("position", this.position)
				.log("watch position was compacted, listing again");
			return new WatchResult(this.position, List.of(), true);
		}
		// Revisions of two eras can't be compared: changes may be missing, whatever the
		// store has returned.
		if (!result.position().isSameEra(this.position)) {
			logChanges("store", result);
			return new WatchResult(this.position, List.of(), true);
		}
		boolean timedOut = (this.clock.nanos() - sentAt.monotonicNanos()) >= timeout.toNanos();
		boolean changed = !result.changes().isEmpty();
		this.confirmedAsOf = (!changed && timedOut) ? sentAt.plus(timeout) : sentAt;
		this.confirmedBySibling = false;
		this.metrics.countStoreWatch();
		this.feed.append(this.position, result, this.confirmedAsOf);
		logChanges("store", result);
		this.listener.onChanged(result.changes(), this.confirmedAsOf);
		if (changed) {
			pause(this.timing.get().batchDelay().toMillis());
		}
		return result;
	}

	// An answer without changes is logged only if it is from another era.
	private void logChanges(String source, WatchResult result) {
		if (result.changes().isEmpty() && this.position.isSameEra(result.position())) {
			return;
		}
		logger.atInfo()
			.addKeyValue("kind", this.kind)
			.addKeyValue("source", source)
			.addKeyValue("before", this.position)
			.addKeyValue("position", result.position())
			.addKeyValue("changes", result.changes().size())
			.log("changes read");
	}

	private ClockReading startCall() {
		ClockReading now = ClockReading.now(this.clock);
		this.callStartedNanos = now.monotonicNanos();
		return now;
	}

	private Duration nextWatchTimeout() {
		if (!this.storeAvailable) {
			return PROBE_WATCH_TIMEOUT;
		}
		// A hub that is lost may have been lost with the store. A store that came back
		// from a copy says so only at the end of the watch, if nothing changes.
		if (this.confirmedBySibling && this.position.era().isPresent()) {
			return PROBE_WATCH_TIMEOUT;
		}
		WatchTiming current = this.timing.get();
		// After a sibling has failed, the time until a silent connection to the store is
		// noticed counts from the last confirmation as well.
		Duration maxAge = this.confirmedBySibling ? min(current.maxConfirmationAge(), current.watchTimeout())
				: current.maxConfirmationAge();
		Duration untilConfirmation = maxAge.minusNanos(this.clock.nanos() - this.confirmedAsOf.monotonicNanos());
		Duration timeout = min(untilConfirmation, current.watchTimeout());
		return (timeout.compareTo(MIN_WATCH_TIMEOUT) < 0) ? MIN_WATCH_TIMEOUT : timeout;
	}

	private static Duration min(Duration left, Duration right) {
		return (left.compareTo(right) < 0) ? left : right;
	}

	private void recordSuccess() {
		if (this.storeAvailable) {
			return;
		}
		setStoreAvailable(true);
		if (this.connectionLost) {
			this.connectionLost = false;
			this.listener.onConnectionReplaced();
			logger.atInfo().addKeyValue("kind", this.kind).log("connection to the store was replaced");
			return;
		}
		this.listener.onStoreAvailable();
		logger.atInfo().addKeyValue("kind", this.kind).log("store is available again");
	}

	private void recordFailure(PeerException cause) {
		if (isClosed()) {
			return;
		}
		this.connectionLost = this.storeAvailable && cause instanceof OutcomeUnknownException
				&& this.clock.nanos() - this.callStartedNanos >= MAX_REJECTION_TIME.toNanos();
		if (this.storeAvailable) {
			setStoreAvailable(false);
			this.listener.onStoreUnavailable();
			logger.atWarn()
				.addKeyValue("kind", this.kind)
				.addKeyValue("connection_lost", this.connectionLost)
				.addKeyValue("cause", cause.toString())
				.log("store is unavailable");
		}
		if (this.connectionLost) {
			return;
		}
		this.feed.markStoreUnavailable();
		pause(this.random.nextInt(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS));
		this.recoveryWait.run();
	}

	private void setStoreAvailable(boolean available) {
		synchronized (this.availabilityMonitor) {
			this.storeAvailable = available;
			this.availabilityMonitor.notifyAll();
		}
	}

	// Waits until this watcher has reached the store again, for a limited time. Called by
	// the watcher of another kind.
	void awaitStoreAvailable() {
		long deadlineNanos = this.clock.nanos() + MAX_RECOVERY_WAIT.toNanos();
		synchronized (this.availabilityMonitor) {
			long remainingNanos = MAX_RECOVERY_WAIT.toNanos();
			while (!this.storeAvailable && remainingNanos > 0) {
				try {
					TimeUnit.NANOSECONDS.timedWait(this.availabilityMonitor, remainingNanos);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
					return;
				}
				remainingNanos = deadlineNanos - this.clock.nanos();
			}
		}
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

	/** Reads one page of a list from the store. */
	@FunctionalInterface
	interface PageReader {

		ObjectPage read(Set<String> kinds, String after, int limit) throws PeerException;

	}

}
