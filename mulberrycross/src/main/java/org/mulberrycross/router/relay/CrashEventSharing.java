package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HexFormat;
import java.util.List;
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

	private final BlockingQueue<Publication> publications = new ArrayBlockingQueue<>(MAX_QUEUED_EVENTS);

	/** The events that this daemon deletes when they expire, the oldest first. */
	private final Deque<Expiry> expiries = new ArrayDeque<>();

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
		if (!this.publications.offer(new Publication(event, onResult, System.nanoTime()))) {
			logger.atWarn().addKeyValue("event", event).log("crash event not shared, too many wait");
			this.controlThread.post(() -> onResult.accept(false));
		}
	}

	private void run() {
		Supervisor supervisor = new Supervisor("crash-events");
		try {
			while (this.closed.getCount() > 0) {
				Publication next = this.publications.poll(EXPIRY_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
				if (next != null) {
					publishAndReport(next, supervisor);
				}
				supervisor.run(this::deleteExpired);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// The publisher always learns the result; a publication that failed is not one.
	private void publishAndReport(Publication publication, Supervisor supervisor) throws InterruptedException {
		AtomicBoolean published = new AtomicBoolean();
		supervisor.run(() -> published.set(publishWithRetries(publication)));
		this.controlThread.post(() -> publication.onResult().accept(published.get()));
	}

	// Returns whether the event was published by this call. A claim whose outcome is
	// unknown is not one.
	private boolean publishWithRetries(Publication publication) throws InterruptedException {
		CrashEvent event = publication.event();
		long nowMillis = System.currentTimeMillis();
		String key = KIND + "/" + name(event, nowMillis);
		byte[] value = CrashEventCodec.encode(event, nowMillis);
		while (System.nanoTime() - publication.queuedNanos() < MAX_DELAY.toNanos()) {
			try {
				OptionalLong version = this.store.create(key, value);
				version.ifPresent((created) -> addExpiry(key, created));
				return version.isPresent();
			}
			catch (PeerException ex) {
				logger.atInfo()
					.addKeyValue("key", key)
					.addKeyValue("cause", ex.toString())
					.log("crash event not shared yet, will be retried");
			}
			if (this.closed.await(this.random.nextInt(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS),
					TimeUnit.MILLISECONDS)) {
				return false;
			}
		}
		logger.atWarn().addKeyValue("key", key).log("crash event not shared in time");
		return false;
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

	private void addExpiry(String key, long version) {
		synchronized (this.expiries) {
			this.expiries.add(new Expiry(key, version, System.nanoTime() + CrashAttribution.RETENTION.toNanos()));
		}
	}

	private Optional<Expiry> takeExpired() {
		synchronized (this.expiries) {
			Expiry oldest = this.expiries.peek();
			boolean expired = oldest != null && System.nanoTime() - oldest.expiresNanos() >= 0;
			return expired ? Optional.of(this.expiries.remove()) : Optional.empty();
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

	/** An event in the store and when it is deleted. */
	private record Expiry(String key, long version, long expiresNanos) {

	}

}
