package org.mulberrycross.router.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.PeerException;
import org.mulberrycross.platform.ObjectStore;

/**
 * Traffic thread that registers this daemon in the store and counts the registered
 * daemons, so that each can compute its share of global limits. Entries of replaced
 * daemons remain, so the count may be too high, which makes each share smaller and
 * therefore safe. Thread-safe.
 */
final class RouterMembership implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(RouterMembership.class);

	private static final String KIND = "router";

	/**
	 * Period of counting after the start; daemons that start together have registered
	 * within it.
	 */
	private static final Duration STARTUP_PERIOD = Duration.ofSeconds(3);

	/** Period of counting; the number of daemons changes within minutes. */
	private static final Duration COUNT_PERIOD = Duration.ofSeconds(30);

	private final ObjectStore store;

	private final String name;

	private final IntConsumer countListener;

	private final CountDownLatch closed = new CountDownLatch(1);

	private final Thread thread = new Thread(this::run, "router-census");

	RouterMembership(ObjectStore store, String name, IntConsumer countListener) {
		this.store = Objects.requireNonNull(store, "store");
		this.name = Objects.requireNonNull(name, "name");
		this.countListener = Objects.requireNonNull(countListener, "countListener");
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	private void run() {
		boolean registered = false;
		boolean first = true;
		Duration period = STARTUP_PERIOD;
		try {
			do {
				countDaemons();
				registered = registered || register();
				if (this.closed.await(period.toMillis(), TimeUnit.MILLISECONDS)) {
					return;
				}
				period = (registered && !first) ? COUNT_PERIOD : STARTUP_PERIOD;
				first = false;
			}
			while (true);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean register() {
		try {
			this.store.create(KIND + "/" + this.name, "{}".getBytes(StandardCharsets.UTF_8));
			return true;
		}
		catch (PeerException ex) {
			logger.atInfo().addKeyValue("cause", ex.toString()).log("daemon registration failed and will be retried");
			return false;
		}
	}

	private void countDaemons() {
		try {
			this.countListener.accept(KindWatcher.listAll(this.store, KIND).objects().size());
		}
		catch (PeerException ex) {
			logger.atInfo().addKeyValue("cause", ex.toString()).log("daemons could not be counted");
		}
	}

	@Override
	public void close() {
		this.closed.countDown();
	}

}
