package org.mulberrycross.router.relay;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.mulberrycross.Supervisor;
import org.mulberrycross.router.SettingsException;

/**
 * Traffic thread that reloads the settings at SIGHUP and periodically, since the file may
 * change without a signal. Thread-safe.
 */
final class SettingsReloader implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(SettingsReloader.class);

	/** Period of reloading without a signal; changes need not apply within seconds. */
	private static final Duration RELOAD_PERIOD = Duration.ofSeconds(5);

	private final SettingsSource source;

	private final Consumer<RelaySettings> onChange;

	private final Semaphore signals = new Semaphore(0);

	private final Thread thread = Supervisor.newThread("settings", this::run);

	private RelaySettings current;

	SettingsReloader(SettingsSource source, RelaySettings current, Consumer<RelaySettings> onChange) {
		this.source = Objects.requireNonNull(source, "source");
		this.current = Objects.requireNonNull(current, "current");
		this.onChange = Objects.requireNonNull(onChange, "onChange");
	}

	void start() {
		HangupSignal.handle(this.signals::release);
		this.thread.start();
	}

	private void run() {
		Supervisor supervisor = new Supervisor("settings");
		try {
			while (!Thread.currentThread().isInterrupted()) {
				boolean signalled = this.signals.tryAcquire(RELOAD_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
				this.signals.drainPermits();
				supervisor.run(() -> reload(signalled));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void reload(boolean signalled) {
		try {
			RelaySettings latest = this.source.read();
			if (signalled || !latest.equals(this.current)) {
				logger.atInfo()
					.addKeyValue("signalled", signalled)
					.addKeyValue("changed", !latest.equals(this.current))
					.log("settings reloaded");
			}
			if (!latest.equals(this.current)) {
				this.current = latest;
				this.onChange.accept(latest);
			}
		}
		catch (SettingsException ex) {
			logger.atWarn()
				.addKeyValue("faults", ex.errors())
				.log("settings could not be reloaded and remain unchanged");
		}
	}

	@Override
	public void close() {
		this.thread.interrupt();
	}

}
