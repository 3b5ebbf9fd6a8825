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
import org.mulberrycross.platform.ConfigurationFollower;
import org.mulberrycross.platform.ConfigurationPublisher;
import org.mulberrycross.platform.HeadWatch;
import org.mulberrycross.platform.SnapshotSource;

/**
 * Traffic threads that publish and follow the configuration. Every wait is bounded. While
 * the object API does not answer, the configuration is followed from siblings. The object
 * API is tried again after a random time, so that the daemons do not all come back at the
 * same moment. Thread-safe.
 */
final class ConfigurationThreads implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(ConfigurationThreads.class);

	/** Bound on a watch of the head, which is then renewed. */
	private static final Duration HEAD_WAIT = Duration.ofSeconds(30);

	/** Bound on a watch of the operators' objects; leaves time to renew the lease. */
	private static final Duration EDIT_WAIT = Duration.ofMillis(1500);

	/** Bound on giving up the publisher's lease when the daemon stops. */
	private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration MIN_PAUSE = Duration.ofMillis(200);

	private static final Duration MAX_PAUSE = Duration.ofSeconds(2);

	private final ConfigurationFollower follower;

	private final HeadWatch headWatch;

	private final ConfigurationPublisher publisher;

	private final Supplier<List<SnapshotSource>> siblings;

	private final RandomGenerator random;

	private final CountDownLatch closed = new CountDownLatch(1);

	private final List<Thread> threads;

	/**
	 * Creates the threads without starting them.
	 * @param follower applies the configuration, not null
	 * @param headWatch watches the head, not null; owned by this object from now on
	 * @param publisher publishes the configuration, not null; owned by this object from
	 * now on
	 * @param siblings supplies sources to use while the object API does not answer, in
	 * the order in which to try them, not null
	 * @param random the source of random numbers, thread-safe
	 */
	ConfigurationThreads(ConfigurationFollower follower, HeadWatch headWatch, ConfigurationPublisher publisher,
			Supplier<List<SnapshotSource>> siblings, RandomGenerator random) {
		this.follower = Objects.requireNonNull(follower, "follower");
		this.headWatch = Objects.requireNonNull(headWatch, "headWatch");
		this.publisher = Objects.requireNonNull(publisher, "publisher");
		this.siblings = Objects.requireNonNull(siblings, "siblings");
		this.random = Objects.requireNonNull(random, "random");
		this.threads = List.of(new Thread(this::follow, "configuration-follower"),
				new Thread(this::publish, "configuration-publisher"));
	}

	/**
	 * Starts the threads.
	 */
	void start() {
		this.threads.forEach((thread) -> {
			thread.setDaemon(true);
			thread.start();
		});
	}

	private void follow() {
		while (!isClosed()) {
			try {
				this.headWatch.step(HEAD_WAIT);
			}
			catch (PeerException ex) {
				if (!isClosed()) {
					logger.warn("configuration stays at generation {}: {}", this.follower.generation(), ex.toString());
					followSiblings();
					pause();
				}
			}
			catch (RuntimeException ex) {
				logger.error("configuration generation {} cannot be replaced", this.follower.generation(), ex);
				pause();
			}
		}
	}

	private void followSiblings() {
		for (SnapshotSource sibling : this.siblings.get()) {
			try {
				if (this.follower.follow(sibling)) {
					return;
				}
			}
			catch (PeerException ex) {
				logger.info("sibling has no whole configuration: {}", ex.toString());
			}
		}
	}

	private void publish() {
		while (!isClosed()) {
			try {
				if (!this.publisher.step(EDIT_WAIT) && !this.publisher.isCandidate()) {
					pause();
				}
			}
			catch (PeerException ex) {
				if (!isClosed()) {
					logger.warn("configuration is not published: {}", ex.toString());
					pause();
				}
			}
			catch (RuntimeException ex) {
				logger.error("configuration cannot be published", ex);
				pause();
			}
		}
		release();
	}

	private void release() {
		// Closing interrupts the thread, which would also interrupt the release.
		Thread.interrupted();
		try {
			this.publisher.release();
		}
		catch (PeerException ex) {
			logger.info("publisher's lease is left to expire: {}", ex.toString());
		}
	}

	private boolean isClosed() {
		return this.closed.getCount() == 0;
	}

	private void pause() {
		try {
			this.closed.await(this.random.nextLong(MIN_PAUSE.toMillis(), MAX_PAUSE.toMillis()), TimeUnit.MILLISECONDS);
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
				thread.join(CLOSE_TIMEOUT.toMillis());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
