package org.mulberrycross.router.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.MonotonicClock;
import org.mulberrycross.PeerException;
import org.mulberrycross.Supervisor;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;
import org.mulberrycross.sibling.Sibling;
import org.mulberrycross.sibling.http.SiblingEntryCodec;

/**
 * Traffic thread that registers this daemon in the store and lists the registered
 * daemons, so that each can compute its share of global limits and send messages to the
 * others. Entries of replaced daemons remain, so the count may be too high, which makes
 * each share smaller and therefore safe. Thread-safe.
 */
final class RouterMembership implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(RouterMembership.class);

	private static final String KIND = "router";

	private static final byte[] EMPTY_ENTRY = "{}".getBytes(StandardCharsets.UTF_8);

	/**
	 * Period of counting after the start; daemons that start together have registered
	 * within it.
	 */
	private static final Duration STARTUP_PERIOD = Duration.ofSeconds(3);

	/** Minimum time between two lists that siblings which are not listed bring about. */
	static final Duration MIN_REFRESH_PERIOD = Duration.ofSeconds(1);

	/** Period of counting; the number of daemons changes within minutes. */
	private static final Duration COUNT_PERIOD = Duration.ofSeconds(30);

	private final ObjectStore store;

	private final String name;

	private final Optional<Sibling> self;

	private final Listener listener;

	private final MonotonicClock clock;

	/**
	 * Whether the daemons that started together are listed. From then on, a list that is
	 * some seconds old serves as well and costs less.
	 */
	private boolean settled;

	private boolean registered;

	/**
	 * Whether the next list is the first since the start or since the store came back.
	 */
	private boolean first = true;

	/** The entries of the last list. */
	private List<StoredObject> lastEntries = List.of();

	/**
	 * Entries from before the store came back from an older copy. They count until the
	 * daemons have registered again, so that shares of limits are not too large.
	 */
	private List<StoredObject> formerEntries = List.of();

	/** Released to list at once. */
	private final Semaphore wakeUps = new Semaphore(0);

	/** Set when the store came back from an older copy, until the next list. */
	private final AtomicBoolean restored = new AtomicBoolean();

	/** Set when a daemon that is not listed has sent a message, until the next list. */
	private final AtomicBoolean refreshing = new AtomicBoolean();

	/** When the last list began, on the monotonic clock. */
	private volatile long lastListNanos;

	private volatile boolean closed;

	private final Thread thread = Supervisor.newThread("router-census", this::run);

	// A daemon without an address for messages registers its name only.
	RouterMembership(ObjectStore store, String name, Optional<Sibling> self, Listener listener, MonotonicClock clock) {
		this.store = Objects.requireNonNull(store, "store");
		this.name = Objects.requireNonNull(name, "name");
		this.self = Objects.requireNonNull(self, "self");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	void start() {
		this.thread.start();
	}

	private void run() {
		Supervisor supervisor = new Supervisor("router-census");
		Duration period = STARTUP_PERIOD;
		try {
			while (!this.closed) {
				supervisor.run(this::listAndUpdate);
				this.wakeUps.tryAcquire(period.toMillis(), TimeUnit.MILLISECONDS);
				period = prepareNextList() ? COUNT_PERIOD : STARTUP_PERIOD;
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	void listAndUpdate() {
		this.registered = listAndRegister(this.registered);
	}

	// Returns whether a list that is some seconds old serves.
	boolean prepareNextList() {
		if (this.restored.getAndSet(false)) {
			this.formerEntries = this.lastEntries;
			this.registered = false;
			this.settled = false;
			this.first = true;
			return false;
		}
		if (this.refreshing.get()) {
			return this.settled;
		}
		this.settled = this.registered && !this.first;
		this.first = false;
		if (this.settled) {
			this.formerEntries = List.of();
		}
		return this.settled;
	}

	// Lists and registers again at once, since the store came back from an older copy.
	// Callable on any thread.
	void registerAgain() {
		this.restored.set(true);
		this.wakeUps.release();
	}

	// Lists at once, without entries that are some seconds old, since a daemon that is
	// not listed has sent a message. Callable on any thread.
	void refresh() {
		boolean listedLately = this.clock.nanos() - this.lastListNanos < MIN_REFRESH_PERIOD.toNanos();
		if (!listedLately && this.refreshing.compareAndSet(false, true)) {
			this.wakeUps.release();
		}
	}

	// Returns whether this daemon is registered.
	boolean listAndRegister(boolean alreadyRegistered) {
		boolean staleServes = this.settled && this.self.isPresent() && !this.refreshing.getAndSet(false);
		this.lastListNanos = this.clock.nanos();
		Optional<StoredObject> ownEntry;
		try {
			List<StoredObject> listed = KindWatcher
				.listAll(staleServes ? this.store::listStale : this.store::list, KIND)
				.objects();
			List<StoredObject> entries = withFormerEntries(listed);
			this.lastEntries = entries;
			this.listener.onListed(entries.size(),
					entries.stream().flatMap((entry) -> decode(entry).stream()).toList());
			ownEntry = listed.stream().filter((entry) -> entry.name().equals(this.name)).findAny();
		}
		catch (PeerException ex) {
			logger.atInfo().addKeyValue("cause", ex.toString()).log("daemons could not be listed");
			return alreadyRegistered;
		}
		return (alreadyRegistered && ownEntry.isPresent()) || register(ownEntry);
	}

	private List<StoredObject> withFormerEntries(List<StoredObject> listed) {
		Set<String> keys = listed.stream().map(StoredObject::key).collect(Collectors.toSet());
		return Stream
			.concat(listed.stream(), this.formerEntries.stream().filter((entry) -> !keys.contains(entry.key())))
			.toList();
	}

	private static Optional<Sibling> decode(StoredObject entry) {
		return SiblingEntryCodec.decode(entry.name(), entry.value());
	}

	// Replaces the entry that a previous process of this daemon made, since its address
	// and its start time may be others.
	private boolean register(Optional<StoredObject> ownEntry) {
		byte[] value = this.self.map(SiblingEntryCodec::encode).orElse(EMPTY_ENTRY);
		try {
			if (ownEntry.isEmpty()) {
				return this.store.create(KIND + "/" + this.name, value).isPresent();
			}
			if (decode(ownEntry.get()).equals(this.self)) {
				return true;
			}
			return this.store.replace(ownEntry.get().key(), value, ownEntry.get().version()).isPresent();
		}
		catch (PeerException ex) {
			logger.atInfo().addKeyValue("cause", ex.toString()).log("daemon registration failed and will be retried");
			return false;
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.wakeUps.release();
	}

	/**
	 * Receives the registered daemons. Called on the thread of the membership.
	 */
	@FunctionalInterface
	interface Listener {

		/**
		 * Handles a new list.
		 * @param daemonCount the number of all registered daemons
		 * @param siblings those that are registered with an address for messages, which
		 * may include this daemon, not null
		 */
		void onListed(int daemonCount, List<Sibling> siblings);

	}

}
