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
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

import org.mulberrycross.Address;

/**
 * Reads typed values from a TOML settings file and collects errors.
 * {@link #throwIfInvalid} reports them together with unknown keys. One instance reads one
 * file. Not thread-safe.
 */
public final class SettingsFile {

	/** Maximum of all durations: one hour. */
	private static final int MAX_MILLIS = 3_600_000;

	private final String fileName;

	private final List<String> errors = new ArrayList<>();

	private final Set<String> knownKeys = new TreeSet<>();

	private final JsonNode root;

	private SettingsFile(String fileName, JsonNode root) {
		this.fileName = fileName;
		this.root = root;
	}

	/**
	 * Reads and parses a file.
	 * @param path the path of the file, not null
	 * @return the parsed file
	 * @throws SettingsException if the file cannot be read or is not valid TOML
	 */
	public static SettingsFile read(Path path) throws SettingsException {
		try {
			return parse(path.toString(), Files.readString(path));
		}
		catch (IOException ex) {
			throw new SettingsException(List.of(path + ": cannot be read: " + ex.getMessage()));
		}
	}

	/**
	 * Parses TOML text.
	 * @param fileName the name of the file, for error messages
	 * @param toml the text, not null
	 * @return the parsed file
	 * @throws SettingsException if the text is not valid TOML
	 */
	public static SettingsFile parse(String fileName, String toml) throws SettingsException {
		try {
			return new SettingsFile(fileName, new TomlMapper().readTree(toml));
		}
		catch (IOException ex) {
			throw new SettingsException(List.of(fileName + ": is not valid TOML: " + ex.getMessage()));
		}
	}

	private JsonNode node(String key) {
		this.knownKeys.add(key);
		return this.root.at("/" + key.replace('.', '/'));
	}

	/**
	 * Reads a required string. An empty string is an error.
	 * @param key the dotted key
	 * @return the string, or empty if it is missing or invalid
	 */
	public Optional<String> requiredString(String key) {
		JsonNode value = node(key);
		if (!value.isTextual() || value.textValue().isEmpty()) {
			addError(key, value, "a non-empty string");
			return Optional.empty();
		}
		return Optional.of(value.textValue());
	}

	/**
	 * Reads a required address.
	 * @param key the dotted key
	 * @return the address, or empty if it is missing or invalid
	 */
	public Optional<Address> requiredAddress(String key) {
		return requiredAddress(key, node(key));
	}

	private Optional<Address> requiredAddress(String key, JsonNode value) {
		if (value.isTextual()) {
			try {
				return Optional.of(Address.parse(value.textValue()));
			}
			catch (IllegalArgumentException ex) {
				// Reported below together with the expected form.
			}
		}
		addError(key, value, "an address of the form host:port with a port from 1 to 65535");
		return Optional.empty();
	}

	/**
	 * Reads an optional address.
	 * @param key the dotted key
	 * @return the address, or empty if the key is absent or its value is invalid
	 */
	public Optional<Address> optionalAddress(String key) {
		JsonNode value = node(key);
		return value.isMissingNode() ? Optional.empty() : requiredAddress(key, value);
	}

	/**
	 * Reads an optional list of addresses.
	 * @param key the dotted key
	 * @return the valid addresses, empty if the key is absent
	 */
	public List<Address> addresses(String key) {
		JsonNode value = node(key);
		List<Address> addresses = new ArrayList<>();
		if (value.isMissingNode()) {
			return addresses;
		}
		if (!value.isArray()) {
			addError(key, value, "a list of addresses of the form host:port");
			return addresses;
		}
		for (JsonNode item : value) {
			requiredAddress(key, item).ifPresent(addresses::add);
		}
		return addresses;
	}

	/**
	 * Reads an optional integer.
	 * @param key the dotted key
	 * @param defaultValue the value to use if the key is absent or invalid
	 * @param min the minimum allowed value
	 * @param max the maximum allowed value
	 * @return the value, or the default
	 */
	public int integer(String key, int defaultValue, int min, int max) {
		JsonNode value = node(key);
		if (value.isMissingNode()) {
			return defaultValue;
		}
		if (!value.canConvertToInt() || !value.isIntegralNumber() || value.intValue() < min || value.intValue() > max) {
			addError(key, value, "a whole number from " + min + " to " + max);
			return defaultValue;
		}
		return value.intValue();
	}

	/**
	 * Reads an optional duration in milliseconds, from 1 ms to one hour.
	 * @param key the dotted key
	 * @param defaultMillis the value to use if the key is absent or invalid
	 * @return the duration, or the default
	 */
	public Duration millis(String key, int defaultMillis) {
		return Duration.ofMillis(integer(key, defaultMillis, 1, MAX_MILLIS));
	}

	/**
	 * Reads an optional string with a fixed set of values.
	 * @param key the dotted key
	 * @param allowed the allowed values; the first one is the default
	 * @return the value, or the default if the key is absent or invalid
	 */
	public String choice(String key, List<String> allowed) {
		JsonNode value = node(key);
		if (value.isMissingNode()) {
			return allowed.get(0);
		}
		if (!value.isTextual() || !allowed.contains(value.textValue())) {
			addError(key, value, "one of " + String.join(", ", allowed));
			return allowed.get(0);
		}
		return value.textValue();
	}

	/**
	 * Reads an optional boolean.
	 * @param key the dotted key
	 * @param defaultValue the value to use if the key is absent
	 * @return the value, or false if it is invalid
	 */
	public boolean flag(String key, boolean defaultValue) {
		JsonNode value = node(key);
		if (value.isMissingNode()) {
			return defaultValue;
		}
		if (!value.isBoolean()) {
			addError(key, value, "true or false");
		}
		return value.booleanValue();
	}

	/**
	 * Requires another key if a flag is set.
	 * @param flag the dotted key of the flag
	 * @param required the dotted key without which the flag has no effect
	 */
	public void requireIfSet(String flag, String required) {
		JsonNode value = node(required);
		if (node(flag).booleanValue() && value.isMissingNode()) {
			addError(required, value, "any valid value, since " + flag + " is set");
		}
	}

	/**
	 * Reads an optional number that may have a fraction.
	 * @param key the dotted key
	 * @param defaultValue the value to use if the key is absent or invalid
	 * @param min the minimum allowed value
	 * @param max the maximum allowed value
	 * @return the value, or the default
	 */
	public double decimal(String key, double defaultValue, double min, double max) {
		JsonNode value = node(key);
		if (value.isMissingNode()) {
			return defaultValue;
		}
		if (!value.isNumber() || value.doubleValue() < min || value.doubleValue() > max) {
			addError(key, value, "a number from " + min + " to " + max);
			return defaultValue;
		}
		return value.doubleValue();
	}

	/**
	 * Checks for unknown keys and reports all errors found. Called once all keys have
	 * been read, since a key is known once it has been read.
	 * @throws SettingsException if a value is invalid or a key is unknown
	 */
	public void throwIfInvalid() throws SettingsException {
		addUnknownKeyErrors("", this.root);
		if (!this.errors.isEmpty()) {
			throw new SettingsException(this.errors);
		}
	}

	private void addUnknownKeyErrors(String prefix, JsonNode table) {
		for (Iterator<String> names = table.fieldNames(); names.hasNext();) {
			String name = names.next();
			String key = prefix.isEmpty() ? name : prefix + "." + name;
			JsonNode value = table.get(name);
			if (value.isObject()) {
				addUnknownKeyErrors(key, value);
			}
			else if (!this.knownKeys.contains(key)) {
				addError(key, value, "one of the known keys: " + String.join(", ", this.knownKeys));
			}
		}
	}

	private void addError(String key, JsonNode value, String allowed) {
		String actual = value.isMissingNode() ? "missing" : value.toString();
		this.errors.add(this.fileName + ": " + key + " is " + actual + ", allowed: " + allowed);
	}

}
