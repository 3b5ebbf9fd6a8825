package org.mulberrycross.router;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.PeerException;
import org.mulberrycross.Supervisor;
import org.mulberrycross.platform.ConfigurationFollower;
import org.mulberrycross.platform.ConfigurationPublisher;
import org.mulberrycross.platform.HeadWatch;
import org.mulberrycross.platform.SnapshotSource;

/**
 * Threads that follow and publish the configuration. Every wait is bounded. While the
 * object API is unreachable, newer configurations are read from siblings. Retries are
 * delayed by a random time, so that the daemons do not all return to the object API at
 * the same moment. Thread-safe.
 */
final class ConfigurationThreads implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationThreads.class);

	/** Maximum duration of one watch of the configuration head, which is then renewed. */
	private static final Duration MAX_HEAD_WAIT = Duration.ofSeconds(30);

	/**
	 * Maximum wait for edits of operators; leaves time to renew the publisher's lease.
	 */
	private static final Duration MAX_EDIT_WAIT = Duration.ofMillis(1500);

	/**
	 * Maximum wait for each thread at shutdown; the publisher releases its lease then.
	 */
	private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);

	private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

	private final ConfigurationFollower follower;

	private final HeadWatch headWatch;

	private final ConfigurationPublisher publisher;

	private final Supplier<List<SnapshotSource>> siblingSources;

	private final RandomGenerator random;

	private final CountDownLatch closed = new CountDownLatch(1);

	private final List<Thread> threads;

	/**
	 * Creates the threads without starting them.
	 * @param follower applies newer configurations, not null
	 * @param headWatch watches the configuration head in the object API, not null; must
	 * not be used elsewhere
	 * @param publisher publishes the configuration, not null; must not be used elsewhere
	 * @param siblingSources supplies the siblings to read from while the object API is
	 * unreachable, in the order in which to try them, not null
	 * @param random the source of retry delays, thread-safe
	 */
	ConfigurationThreads(ConfigurationFollower follower, HeadWatch headWatch, ConfigurationPublisher publisher,
			Supplier<List<SnapshotSource>> siblingSources, RandomGenerator random) {
		this.follower = Objects.requireNonNull(follower, "follower");
		this.headWatch = Objects.requireNonNull(headWatch, "headWatch");
		this.publisher = Objects.requireNonNull(publisher, "publisher");
		this.siblingSources = Objects.requireNonNull(siblingSources, "siblingSources");
		this.random = Objects.requireNonNull(random, "random");
		this.threads = List.of(Supervisor.newThread("configuration-follower", this::runFollower),
				Supervisor.newThread("configuration-publisher", this::runPublisher));
	}

	/**
	 * Starts the follower and the publisher as Java daemon threads.
	 */
	void start() {
		this.threads.forEach(Thread::start);
	}

	private void runFollower() {
		Supervisor supervisor = new Supervisor("configuration-follower");
		while (!isClosed()) {
			try {
				this.headWatch.poll(MAX_HEAD_WAIT);
			}
			catch (PeerException ex) {
				if (!isClosed()) {
					logger.warn("configuration stays at generation {}: {}", this.follower.generation(), ex.toString());
					followSiblings();
					awaitRetryDelay();
				}
			}
			catch (RuntimeException ex) {
				logger.error("configuration cannot be updated from generation {}", this.follower.generation(), ex);
				awaitRetryDelay();
			}
			catch (Error ex) {
				supervisor.recordError(ex);
				awaitRetryDelay();
			}
		}
	}

	private void followSiblings() {
		for (SnapshotSource sibling : this.siblingSources.get()) {
			try {
				if (this.follower.applyIfNewer(sibling)) {
					return;
				}
			}
			catch (PeerException ex) {
				logger.info("configuration cannot be read from a sibling: {}", ex.toString());
			}
		}
	}

	private void runPublisher() {
		Supervisor supervisor = new Supervisor("configuration-publisher");
		while (!isClosed()) {
			try {
				if (!this.publisher.pollAndPublish(MAX_EDIT_WAIT) && !this.publisher.isCandidate()) {
					awaitRetryDelay();
				}
			}
			catch (PeerException ex) {
				if (!isClosed()) {
					logger.warn("configuration cannot be published, will retry: {}", ex.toString());
					awaitRetryDelay();
				}
			}
			catch (RuntimeException ex) {
				logger.error("configuration cannot be published", ex);
				awaitRetryDelay();
			}
			catch (Error ex) {
				supervisor.recordError(ex);
				awaitRetryDelay();
			}
		}
		releaseLease();
	}

	private void releaseLease() {
		// Clears the interrupt set by close(), which would also interrupt the release.
		Thread.interrupted();
		try {
			this.publisher.release();
		}
		catch (PeerException ex) {
			logger.info("publisher's lease cannot be released and will expire: {}", ex.toString());
		}
	}

	private boolean isClosed() {
		return this.closed.getCount() == 0;
	}

	private void awaitRetryDelay() {
		try {
			this.closed.await(this.random.nextLong(MIN_RETRY_DELAY.toMillis(), MAX_RETRY_DELAY.toMillis()),
					TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		this.closed.countDown();
		this.threads.forEach(Thread::interrupt);
		try {
			for (Thread thread : this.threads) {
				thread.join(JOIN_TIMEOUT.toMillis());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
