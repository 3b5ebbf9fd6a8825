package org.mulberrycross.router.relay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.PeerException;
import org.mulberrycross.platform.ObjectStore;

/**
 * Traffic thread that enters this daemon in the store and counts the daemons there, so
 * that each can tell its share of what all of them do. Entries of daemons that were
 * replaced stay, so the count errs to the safe side. Thread-safe.
 */
final class RouterCensus implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(RouterCensus.class);

	private static final String KIND = "router";

	/** Time after which all daemons that started together have entered themselves. */
	private static final Duration FIRST_COUNT = Duration.ofSeconds(3);

	/** Period of counting; daemons come and go in minutes. */
	private static final Duration PERIOD = Duration.ofSeconds(30);

	private static final int MAX_DAEMONS = 1000;

	private final ObjectStore store;

	private final String name;

	private final IntConsumer counted;

	private final CountDownLatch closed = new CountDownLatch(1);

	private final Thread thread = new Thread(this::run, "router-census");

	RouterCensus(ObjectStore store, String name, IntConsumer counted) {
		this.store = Objects.requireNonNull(store, "store");
		this.name = Objects.requireNonNull(name, "name");
		this.counted = Objects.requireNonNull(counted, "counted");
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	private void run() {
		boolean entered = false;
		boolean first = true;
		Duration pause = FIRST_COUNT;
		try {
			do {
				count();
				entered = entered || enter();
				if (this.closed.await(pause.toMillis(), TimeUnit.MILLISECONDS)) {
					return;
				}
				pause = (entered && !first) ? PERIOD : FIRST_COUNT;
				first = false;
			}
			while (true);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean enter() {
		try {
			this.store.create(KIND + "/" + this.name, "{}".getBytes(StandardCharsets.UTF_8));
			return true;
		}
		catch (PeerException ex) {
			logger.atInfo().addKeyValue("cause", ex.toString()).log("daemon is not entered yet");
			return false;
		}
	}

	private void count() {
		try {
			this.counted.accept(this.store.list(Set.of(KIND), "", MAX_DAEMONS).objects().size());
		}
		catch (PeerException ex) {
			logger.atInfo().addKeyValue("cause", ex.toString()).log("daemons are not counted");
		}
	}

	@Override
	public void close() {
		this.closed.countDown();
	}

}
