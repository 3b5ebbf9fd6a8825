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

	private static final int MAX_REQUESTS = 100_000;

	private SettingsReader() {
	}

	/**
	 * Reads a settings file.
	 * @param path the path of the file, not null
	 * @return the settings, with defaults for absent optional keys
	 * @throws SettingsException if the file cannot be read, is not valid TOML, or has
	 * missing keys, unknown keys, values of a wrong type or values out of range
	 */
	public static RouterSettings read(Path path) throws SettingsException {
		return parse(SettingsFile.read(path));
	}

	/**
	 * Parses settings from text.
	 * @param fileName the name of the file, for error messages
	 * @param toml the TOML text, not null
	 * @return the settings, with defaults for absent optional keys
	 * @throws SettingsException if the text is not valid TOML, or has missing keys,
	 * unknown keys, values of a wrong type or values out of range
	 */
	public static RouterSettings parse(String fileName, String toml) throws SettingsException {
		return parse(SettingsFile.parse(fileName, toml));
	}

	private static RouterSettings parse(SettingsFile file) throws SettingsException {
		Optional<String> name = file.requiredString("instance.name");
		Optional<String> dataCentre = file.requiredString("instance.data_centre");
		Optional<Address> listenAddress = file.requiredAddress("listen.address");
		Optional<Address> platformAddress = file.requiredAddress("platform.address");
		List<Address> seeds = file.addresses("siblings.seeds");
		int maxBodyBytes = file.integer("limits.max_body_bytes", 1 << 20, 1024, MAX_BODY_BYTES);
		int maxRunningRequests = file.integer("limits.streams", 512, 1, MAX_REQUESTS);
		int maxQueuedRequests = file.integer("limits.queued_requests", 2048, 0, MAX_REQUESTS);
		Duration maxQueueWait = file.millis("limits.max_wait_ms", 30_000);
		Duration stepTimeout = file.millis("timeouts.step_ms", 1000);
		Duration platformTimeout = file.millis("timeouts.platform_ms", 1000);
		Duration shutdownGrace = file.millis("shutdown.grace_ms", 3000);
		boolean jsonLogs = file.flag("log.json", false);
		String admissionPolicy = file.choice("admission.policy", List.of("fair", "fifo"));
		String routingPolicy = file.choice("routing.policy",
				List.of("expected-time", "least-outstanding", "round-robin", "random"));
		file.throwIfInvalid();
		return new RouterSettings(name.orElseThrow(), dataCentre.orElseThrow(), listenAddress.orElseThrow(),
				platformAddress.orElseThrow(), seeds, maxBodyBytes, maxRunningRequests, maxQueuedRequests, maxQueueWait,
				stepTimeout, platformTimeout, shutdownGrace, jsonLogs, admissionPolicy, routingPolicy);
	}

}
