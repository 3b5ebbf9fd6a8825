package org.mulberrycross.router;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mulberrycross.Address;

/**
 * Reads the TOML settings of a router daemon. Thread-safe.
 */
public final class SettingsReader {

	private static final int MAX_BODY_BYTES = 16 << 20;

	private static final int MAX_COUNT = 100_000;

	private SettingsReader() {
	}

	/**
	 * Reads a settings file.
	 * @param path the path of the file, not null
	 * @return the settings
	 * @throws SettingsException if the file cannot be read, is not TOML, or has unknown
	 * keys, wrong types or values out of range
	 */
	public static RouterSettings read(Path path) throws SettingsException {
		return parse(SettingsFile.read(path));
	}

	/**
	 * Parses settings.
	 * @param file the name of the file, for faults
	 * @param toml the TOML text, not null
	 * @return the settings
	 * @throws SettingsException if the text is not TOML, or has unknown keys, wrong types
	 * or values out of range
	 */
	public static RouterSettings parse(String file, String toml) throws SettingsException {
		return parse(SettingsFile.parse(file, toml));
	}

	private static RouterSettings parse(SettingsFile file) throws SettingsException {
		Optional<String> name = file.text("instance.name");
		Optional<String> dataCentre = file.text("instance.data_centre");
		Optional<Address> listen = file.address("listen.address");
		Optional<Address> platform = file.address("platform.address");
		List<Address> seeds = file.addresses("siblings.seeds");
		int maxBodyBytes = file.number("limits.max_body_bytes", 1 << 20, 1024, MAX_BODY_BYTES);
		int maxStreams = file.number("limits.streams", 512, 1, MAX_COUNT);
		int maxQueued = file.number("limits.queued_requests", 2048, 0, MAX_COUNT);
		Duration maxWait = file.millis("limits.max_wait_ms", 30_000);
		Duration stepTimeout = file.millis("timeouts.step_ms", 1000);
		Duration platformTimeout = file.millis("timeouts.platform_ms", 1000);
		Duration shutdownGrace = file.millis("shutdown.grace_ms", 3000);
		boolean jsonLogs = file.flag("log.json", false);
		String admissionPolicy = file.choice("admission.policy", List.of("fair", "fifo"));
		String routingPolicy = file.choice("routing.policy",
				List.of("expected-time", "least-outstanding", "round-robin", "random"));
		file.finish();
		return new RouterSettings(name.orElseThrow(), dataCentre.orElseThrow(), listen.orElseThrow(),
				platform.orElseThrow(), seeds, maxBodyBytes, maxStreams, maxQueued, maxWait, stepTimeout,
				platformTimeout, shutdownGrace, jsonLogs, admissionPolicy, routingPolicy);
	}

}
