package org.mulberrycross.router;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

import org.mulberrycross.Address;

/**
 * Reads the TOML settings of a router daemon and checks every key. Not thread-safe; use
 * one reader for each file.
 */
public final class SettingsReader {

	private static final int MAX_BODY_BYTES = 16 << 20;

	private static final int MAX_COUNT = 100_000;

	private static final int MAX_MILLIS = 3_600_000;

	private final String file;

	private final List<String> faults = new ArrayList<>();

	private final Set<String> known = new TreeSet<>();

	private JsonNode root = MissingNode.getInstance();

	private SettingsReader(String file) {
		this.file = file;
	}

	/**
	 * Reads a settings file.
	 * @param path the path of the file, not null
	 * @return the settings
	 * @throws SettingsException if the file cannot be read, is not TOML, or has unknown
	 * keys, wrong types or values out of range
	 */
	public static RouterSettings read(Path path) throws SettingsException {
		try {
			return parse(path.toString(), Files.readString(path));
		}
		catch (IOException ex) {
			throw new SettingsException(List.of(path + ": cannot be read: " + ex.getMessage()));
		}
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
		return new SettingsReader(file).parse(toml);
	}

	private RouterSettings parse(String toml) throws SettingsException {
		try {
			this.root = new TomlMapper().readTree(toml);
		}
		catch (IOException ex) {
			throw new SettingsException(List.of(this.file + ": is not TOML: " + ex.getMessage()));
		}
		Optional<String> name = text("instance.name");
		Optional<String> dataCentre = text("instance.data_centre");
		Optional<Address> listen = address("listen.address");
		Optional<Address> platform = address("platform.address");
		List<Address> seeds = addresses("siblings.seeds");
		int maxBodyBytes = number("limits.max_body_bytes", 1 << 20, 1024, MAX_BODY_BYTES);
		int maxStreams = number("limits.streams", 512, 1, MAX_COUNT);
		int maxQueued = number("limits.queued_requests", 2048, 0, MAX_COUNT);
		Duration maxWait = millis("limits.max_wait_ms", 30_000);
		Duration stepTimeout = millis("timeouts.step_ms", 1000);
		Duration platformTimeout = millis("timeouts.platform_ms", 1000);
		Duration shutdownGrace = millis("shutdown.grace_ms", 3000);
		boolean jsonLogs = flag("log.json", false);
		String admissionPolicy = choice("admission.policy", List.of("fair", "fifo"));
		String routingPolicy = choice("routing.policy",
				List.of("expected-time", "least-outstanding", "round-robin", "random"));
		unknownKeys("", this.root);
		if (!this.faults.isEmpty()) {
			throw new SettingsException(this.faults);
		}
		return new RouterSettings(name.orElseThrow(), dataCentre.orElseThrow(), listen.orElseThrow(),
				platform.orElseThrow(), seeds, maxBodyBytes, maxStreams, maxQueued, maxWait, stepTimeout,
				platformTimeout, shutdownGrace, jsonLogs, admissionPolicy, routingPolicy);
	}

	private JsonNode node(String key) {
		this.known.add(key);
		return this.root.at("/" + key.replace('.', '/'));
	}

	private Optional<String> text(String key) {
		JsonNode value = node(key);
		if (!value.isTextual() || value.textValue().isEmpty()) {
			fault(key, value, "a text that is not empty");
			return Optional.empty();
		}
		return Optional.of(value.textValue());
	}

	private Optional<Address> address(String key) {
		return address(key, node(key));
	}

	private Optional<Address> address(String key, JsonNode value) {
		if (value.isTextual()) {
			try {
				return Optional.of(Address.parse(value.textValue()));
			}
			catch (IllegalArgumentException ex) {
				// Reported below with the allowed form.
			}
		}
		fault(key, value, "an address of the form host:port with a port from 1 to 65535");
		return Optional.empty();
	}

	private List<Address> addresses(String key) {
		JsonNode value = node(key);
		List<Address> addresses = new ArrayList<>();
		if (value.isMissingNode()) {
			return addresses;
		}
		if (!value.isArray()) {
			fault(key, value, "a list of addresses of the form host:port");
			return addresses;
		}
		for (JsonNode item : value) {
			address(key, item).ifPresent(addresses::add);
		}
		return addresses;
	}

	private int number(String key, int defaultValue, int least, int most) {
		JsonNode value = node(key);
		if (value.isMissingNode()) {
			return defaultValue;
		}
		if (!value.canConvertToInt() || !value.isIntegralNumber() || value.intValue() < least
				|| value.intValue() > most) {
			fault(key, value, "a whole number from " + least + " to " + most);
			return defaultValue;
		}
		return value.intValue();
	}

	private Duration millis(String key, int defaultMillis) {
		return Duration.ofMillis(number(key, defaultMillis, 1, MAX_MILLIS));
	}

	/**
	 * Reads one of some values.
	 * @param key the key
	 * @param allowed the values, of which the first is the default
	 * @return the value, or the default
	 */
	private String choice(String key, List<String> allowed) {
		JsonNode value = node(key);
		if (value.isMissingNode()) {
			return allowed.get(0);
		}
		if (!value.isTextual() || !allowed.contains(value.textValue())) {
			fault(key, value, "one of " + String.join(", ", allowed));
			return allowed.get(0);
		}
		return value.textValue();
	}

	private boolean flag(String key, boolean defaultValue) {
		JsonNode value = node(key);
		if (value.isMissingNode()) {
			return defaultValue;
		}
		if (!value.isBoolean()) {
			fault(key, value, "true or false");
		}
		return value.booleanValue();
	}

	private void unknownKeys(String prefix, JsonNode table) {
		for (Iterator<String> names = table.fieldNames(); names.hasNext();) {
			String name = names.next();
			String key = prefix.isEmpty() ? name : prefix + "." + name;
			JsonNode value = table.get(name);
			if (value.isObject()) {
				unknownKeys(key, value);
			}
			else if (!this.known.contains(key)) {
				fault(key, value, "one of the known keys: " + String.join(", ", this.known));
			}
		}
	}

	private void fault(String key, JsonNode value, String allowed) {
		String shown = value.isMissingNode() ? "missing" : value.toString();
		this.faults.add(this.file + ": " + key + " is " + shown + ", allowed: " + allowed);
	}

}
