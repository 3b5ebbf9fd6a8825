package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.ControlThread;
import org.mulberrycross.PeerException;
import org.mulberrycross.Supervisor;
import org.mulberrycross.engine.CrashAttribution;
import org.mulberrycross.engine.CrashEvent;
import org.mulberrycross.engine.http.CrashEventCodec;
import org.mulberrycross.platform.ObjectChange;
import org.mulberrycross.platform.ObjectStore;
import org.mulberrycross.platform.StoredObject;

/**
 * Shares events about requests that may crash engines among all daemons, as objects of
 * the store that are never changed. Publishes on a traffic thread. Thread-safe.
 */
final class CrashEventSharing implements CrashEventPublisher, KindListener, AutoCloseable {

	/** Kind of the objects in the store. */
	static final String KIND = "crash-event";

	private static final Logger logger = LoggerFactory.getLogger(CrashEventSharing.class);

	/**
	 * Maximum number of events that wait to be published. An engine crash brings one and
	 * one for each part that it cast suspicion on.
	 */
	private static final int MAX_QUEUED_EVENTS = 512;

	/** Time after which an event that could not be published is dropped. */
	private static final Duration MAX_DELAY = Duration.ofSeconds(10);

	private static final int MIN_RETRY_DELAY_MILLIS = 250;

	private static final int MAX_RETRY_DELAY_MILLIS = 600;

	/** Period of deleting expired events. */
	private static final Duration EXPIRY_PERIOD = Duration.ofMinutes(1);

	private final ObjectStore store;

	private final ControlThread controlThread;

	private final Consumer<List<CrashEvent>> listener;

	private final RandomGenerator random;

	private final BlockingQueue<StoreTask> tasks = new ArrayBlockingQueue<>(MAX_QUEUED_EVENTS);

	/** The events that this daemon deletes when they expire, the oldest first. */
	private final Map<String, Expiry> expiries = new LinkedHashMap<>();

	private final CountDownLatch closed = new CountDownLatch(1);

	private final Thread thread = Supervisor.newThread("crash-events", this::run);

	CrashEventSharing(ObjectStore store, ControlThread controlThread, Consumer<List<CrashEvent>> listener,
			RandomGenerator random) {
		this.store = Objects.requireNonNull(store, "store");
		this.controlThread = Objects.requireNonNull(controlThread, "controlThread");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.random = Objects.requireNonNull(random, "random");
	}

	void start() {
		this.thread.start();
	}

	@Override
	public void publish(CrashEvent event, Consumer<Boolean> onResult) {
		Publication publication = new Publication(event, onResult, System.nanoTime());
		if (!this.tasks.offer(() -> publishAndReport(publication))) {
			logger.atWarn().addKeyValue("event", event).log("crash event not shared, too many wait");
			this.controlThread.post(() -> onResult.accept(false));
		}
	}

	private void run() {
		Supervisor supervisor = new Supervisor("crash-events");
		try {
			while (this.closed.getCount() > 0) {
				StoreTask next = this.tasks.poll(EXPIRY_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
				if (next != null) {
					supervisor.run(next::run);
				}
				supervisor.run(this::deleteExpired);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// The publisher always learns the result; a publication that failed is not one.
	private void publishAndReport(Publication publication) throws InterruptedException {
		AtomicBoolean published = new AtomicBoolean();
		try {
			published.set(publishWithRetries(publication));
		}
		finally {
			this.controlThread.post(() -> publication.onResult().accept(published.get()));
		}
	}

	// Returns whether the event was published by this call. A claim whose outcome is
	// unknown is not one.
	private boolean publishWithRetries(Publication publication) throws InterruptedException {
		CrashEvent event = publication.event();
		long nowMillis = System.currentTimeMillis();
		String key = KIND + "/" + name(event, nowMillis);
		byte[] value = CrashEventCodec.encode(event, nowMillis);
		OptionalLong version = createWithRetries(key, value, publication.queuedNanos());
		version.ifPresent((created) -> putExpiry(new Expiry(key, value, created, expiryNanos())));
		return version.isPresent();
	}

	// Returns the version of the object that this call created, empty if it exists or the
	// store can't be reached in time.
	private OptionalLong createWithRetries(String key, byte[] value, long sinceNanos) throws InterruptedException {
		while (System.nanoTime() - sinceNanos < MAX_DELAY.toNanos()) {
			try {
				return this.store.create(key, value);
			}
			catch (PeerException ex) {
				logger.atInfo()
					.addKeyValue("key", key)
					.addKeyValue("cause", ex.toString())
					.log("crash event not shared yet, will be retried");
			}
			if (this.closed.await(this.random.nextInt(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS),
					TimeUnit.MILLISECONDS)) {
				return OptionalLong.empty();
			}
		}
		logger.atWarn().addKeyValue("key", key).log("crash event not shared in time");
		return OptionalLong.empty();
	}

	// Creates the events of this daemon again that the store has lost.
	private void createLostEvents() throws InterruptedException {
		long startNanos = System.nanoTime();
		List<Expiry> own;
		synchronized (this.expiries) {
			own = List.copyOf(this.expiries.values());
		}
		int created = 0;
		for (Expiry event : own) {
			OptionalLong version = createWithRetries(event.key(), event.value(), startNanos);
			if (version.isPresent()) {
				created++;
				putExpiry(new Expiry(event.key(), event.value(), version.getAsLong(), event.expiresNanos()));
			}
		}
		logger.atInfo()
			.addKeyValue("events", own.size())
			.addKeyValue("created", created)
			.log("crash events written again");
	}

	// Only one daemon can create the claim of a trial within the time between trials.
	private String name(CrashEvent event, long nowMillis) {
		if (event instanceof CrashEvent.TrialClaimed trial) {
			long period = nowMillis / CrashAttribution.holdAfter(trial.crashCount()).toMillis();
			return "trial." + trial.part() + "." + trial.crashCount() + "." + period;
		}
		return ((event instanceof CrashEvent.EngineLost) ? "lost." : "begun.")
				+ HexFormat.of().toHexDigits(this.random.nextLong());
	}

	private static long expiryNanos() {
		return System.nanoTime() + CrashAttribution.RETENTION.toNanos();
	}

	// Adds an event at the end, or replaces it where it is.
	private void putExpiry(Expiry expiry) {
		synchronized (this.expiries) {
			this.expiries.put(expiry.key(), expiry);
		}
	}

	private Optional<Expiry> takeExpired() {
		synchronized (this.expiries) {
			Optional<Expiry> expired = this.expiries.values()
				.stream()
				.findFirst()
				.filter((oldest) -> System.nanoTime() - oldest.expiresNanos() >= 0);
			expired.ifPresent((oldest) -> this.expiries.remove(oldest.key()));
			return expired;
		}
	}

	private void deleteExpired() {
		for (Optional<Expiry> expired = takeExpired(); expired.isPresent(); expired = takeExpired()) {
			try {
				this.store.delete(expired.get().key(), expired.get().version());
			}
			catch (PeerException ex) {
				logger.atInfo()
					.addKeyValue("key", expired.get().key())
					.addKeyValue("cause", ex.toString())
					.log("expired crash event not deleted");
			}
		}
	}

	@Override
	public void onListed(List<StoredObject> objects, ClockReading asOf) {
		long expiredBeforeMillis = System.currentTimeMillis() - CrashAttribution.RETENTION.toMillis();
		// The list is ordered by key, while a later event may revoke an earlier one.
		deliver(objects.stream()
			.filter((object) -> isNewerThan(object, expiredBeforeMillis))
			.sorted(Comparator.comparingLong(StoredObject::version))
			.toList());
	}

	@Override
	public void onChanged(List<ObjectChange> changes, ClockReading asOf) {
		deliver(changes.stream().flatMap((change) -> change.object().stream()).toList());
	}

	private void deliver(List<StoredObject> objects) {
		List<CrashEvent> events = objects.stream().flatMap((object) -> decode(object).stream()).toList();
		this.controlThread.post(() -> this.listener.accept(events));
	}

	private static boolean isNewerThan(StoredObject object, long millis) {
		try {
			return CrashEventCodec.decodeTimeMillis(object.value()) > millis;
		}
		catch (PeerException ex) {
			return false;
		}
	}

	private static Optional<CrashEvent> decode(StoredObject object) {
		try {
			return Optional.of(CrashEventCodec.decode(object.value()));
		}
		catch (PeerException ex) {
			logger.atWarn()
				.addKeyValue("key", object.key())
				.addKeyValue("reason", ex.toString())
				.log("ignoring invalid crash event");
			return Optional.empty();
		}
	}

	@Override
	public void onStoreRestored() {
		// The events known so far stay in force.
		if (!this.tasks.offer(this::createLostEvents)) {
			logger.warn("crash events not written again, too many wait");
		}
	}

	@Override
	public void onStoreUnavailable() {
		// The events known so far stay in force.
	}

	@Override
	public void onStoreAvailable() {
		// The watch continues where it was interrupted.
	}

	@Override
	public void onConnectionReplaced() {
		// The watch continues where it was interrupted.
	}

	@Override
	public void close() {
		this.closed.countDown();
		this.thread.interrupt();
	}

	/** An event that waits to be published. */
	private record Publication(CrashEvent event, Consumer<Boolean> onResult, long queuedNanos) {

	}

	/** A call of the store on the thread of this class. */
	@FunctionalInterface
	private interface StoreTask {

		void run() throws InterruptedException;

	}

	/** An event in the store and when it is deleted. */
	private record Expiry(String key, byte[] value, long version, long expiresNanos) {

	}

}
