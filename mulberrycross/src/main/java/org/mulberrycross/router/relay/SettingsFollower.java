package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.router.SettingsException;

/**
 * Traffic thread that reads the settings again at SIGHUP, and from time to time since
 * they may change without a signal. Thread-safe.
 */
final class SettingsFollower implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(SettingsFollower.class);

	/**
	 * Period of reading the file without a signal; its settings are no matter of seconds.
	 */
	private static final Duration PERIOD = Duration.ofSeconds(5);

	private final SettingsSource source;

	private final Consumer<RelaySettings> changed;

	private final Semaphore signals = new Semaphore(0);

	private final Thread thread = new Thread(this::run, "settings");

	private RelaySettings current;

	SettingsFollower(SettingsSource source, RelaySettings current, Consumer<RelaySettings> changed) {
		this.source = Objects.requireNonNull(source, "source");
		this.current = Objects.requireNonNull(current, "current");
		this.changed = Objects.requireNonNull(changed, "changed");
		this.thread.setDaemon(true);
	}

	void start() {
		HangupSignal.handle(this.signals::release);
		this.thread.start();
	}

	private void run() {
		try {
			while (!Thread.currentThread().isInterrupted()) {
				boolean signalled = this.signals.tryAcquire(PERIOD.toMillis(), TimeUnit.MILLISECONDS);
				this.signals.drainPermits();
				reload(signalled);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void reload(boolean signalled) {
		try {
			RelaySettings read = this.source.read();
			if (signalled || !read.equals(this.current)) {
				logger.atInfo()
					.addKeyValue("signalled", signalled)
					.addKeyValue("changed", !read.equals(this.current))
					.log("settings reloaded");
			}
			if (!read.equals(this.current)) {
				this.current = read;
				this.changed.accept(read);
			}
		}
		catch (SettingsException ex) {
			logger.atWarn().addKeyValue("faults", ex.faults()).log("settings cannot be reloaded and stay as they were");
		}
	}

	@Override
	public void close() {
		this.thread.interrupt();
	}

}
