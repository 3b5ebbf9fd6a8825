package org.mulberrycross.router.relay;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

import org.mulberrycross.Address;
import org.mulberrycross.router.SettingsException;
import org.mulberrycross.router.SettingsFile;

/**
 * Reads the TOML settings of a relaying daemon. Thread-safe.
 */
public final class RelaySettingsReader {

	private static final int DEFAULT_REVOCATION_MILLIS = 5000;

	private static final int DEFAULT_STOP_GRACE_SECONDS = 8;

	private static final int DEFAULT_DRAIN_MILLIS = 2000;

	private static final int DEFAULT_CONFIGURATION_MILLIS = 2000;

	private static final int DEFAULT_CONTACT_MILLIS = 3000;

	private static final int MAX_STOP_GRACE_SECONDS = 3600;

	private static final double DEFAULT_RETRY_RATIO = 0.1;

	private static final double DEFAULT_RETRY_BURST = 100;

	private static final double MAX_RETRY_BURST = 1e6;

	private static final double DEFAULT_RETRY_WINDOW_SECONDS = 10;

	private static final double MAX_RETRY_WINDOW_SECONDS = 3600;

	private static final int MAX_MIN_DAEMONS = 1_000_000;

	private static final int MAX_MAX_WAITING = 100_000;

	private static final double MILLIS_PER_SECOND = 1000;

	private RelaySettingsReader() {
	}

	/**
	 * Reads a settings file.
	 * @param path the path of the file, not null
	 * @return the settings, with defaults for absent optional keys
	 * @throws SettingsException if the file cannot be read, is not valid TOML, or has
	 * missing keys, unknown keys, values of a wrong type or values out of range
	 */
	public static RelaySettings read(Path path) throws SettingsException {
		return parse(SettingsFile.read(path));
	}

	static RelaySettings parse(SettingsFile file) throws SettingsException {
		Optional<String> name = file.requiredString("instance.name");
		Optional<String> dataCentre = file.requiredString("instance.data_centre");
		Optional<Address> callerAddress = file.requiredAddress("listen.callers");
		Optional<Address> readinessAddress = file.requiredAddress("listen.readiness");
		Optional<Address> platformAddress = file.requiredAddress("platform.address");
		Duration revocationLimit = file.millis("bounds.revocation_ms", DEFAULT_REVOCATION_MILLIS);
		PropagationLimits propagationLimits = new PropagationLimits(
				file.millis("bounds.drain_ms", DEFAULT_DRAIN_MILLIS),
				file.millis("bounds.configuration_ms", DEFAULT_CONFIGURATION_MILLIS),
				file.millis("bounds.contact_ms", DEFAULT_CONTACT_MILLIS));
		double shutdownGrace = file.decimal("bounds.stop_grace_s", DEFAULT_STOP_GRACE_SECONDS, 1,
				MAX_STOP_GRACE_SECONDS);
		double retryRatio = file.decimal("bounds.retry_ratio", DEFAULT_RETRY_RATIO, 0, 1);
		double retryBurst = file.decimal("bounds.retry_burst", DEFAULT_RETRY_BURST, 0, MAX_RETRY_BURST);
		double retryWindow = file.decimal("bounds.retry_window_s", DEFAULT_RETRY_WINDOW_SECONDS, 1,
				MAX_RETRY_WINDOW_SECONDS);
		WaitingSettings waiting = new WaitingSettings(file.flag("admission.queue", false),
				file.flag("admission.forward_priority", false), file.flag("admission.spread_returns", false),
				file.flag("admission.balance_by_slots", false),
				file.integer("admission.max_waiting", WaitingSettings.DEFAULT_MAX_WAITING, 1, MAX_MAX_WAITING));
		SiblingSettings siblings = new SiblingSettings(file.optionalAddress("listen.siblings"),
				file.integer("siblings.min_daemons", SiblingSettings.DEFAULT_MIN_DAEMONS, 2, MAX_MIN_DAEMONS),
				file.flag("siblings.share_load", false), file.flag("siblings.share_changes", false));
		file.requireIfSet("siblings.share_changes", "listen.siblings");
		RelayFeatures features = new RelayFeatures(siblings, file.flag("streams.early_moves", false),
				file.flag("routing.expected_cost", false), waiting);
		file.throwIfInvalid();
		return new RelaySettings(name.orElseThrow(), dataCentre.orElseThrow(), callerAddress.orElseThrow(),
				readinessAddress.orElseThrow(), platformAddress.orElseThrow(), revocationLimit, propagationLimits,
				secondsToDuration(shutdownGrace), retryRatio, retryBurst, secondsToDuration(retryWindow), features);
	}

	private static Duration secondsToDuration(double seconds) {
		return Duration.ofMillis((long) (seconds * MILLIS_PER_SECOND));
	}

}
