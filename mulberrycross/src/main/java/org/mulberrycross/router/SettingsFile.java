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
 * Reads values from a TOML settings file, collects what is wrong with them, and checks
 * that every key is known. Not thread-safe; use one for each file.
 */
public final class SettingsFile {

	private static final int MAX_MILLIS = 3_600_000;

	private final String file;

	private final List<String> faults = new ArrayList<>();

	private final Set<String> known = new TreeSet<>();

	private final JsonNode root;

	private SettingsFile(String file, JsonNode root) {
		this.file = file;
		this.root = root;
	}

	/**
	 * Reads a file.
	 * @param path the path of the file, not null
	 * @return the file
	 * @throws SettingsException if the file cannot be read or is not TOML
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
	 * @param file the name of the file, for faults
	 * @param toml the text, not null
	 * @return the file
	 * @throws SettingsException if the text is not TOML
	 */
	public static SettingsFile parse(String file, String toml) throws SettingsException {
		try {
			return new SettingsFile(file, new TomlMapper().readTree(toml));
		}
		catch (IOException ex) {
			throw new SettingsException(List.of(file + ": is not TOML: " + ex.getMessage()));
		}
	}

	private JsonNode node(String key) {
		this.known.add(key);
		return this.root.at("/" + key.replace('.', '/'));
	}

	/**
	 * Reads a text that must be present.
	 * @param key the key
	 * @return the text, or empty if it is a fault
	 */
	public Optional<String> text(String key) {
		JsonNode value = node(key);
		if (!value.isTextual() || value.textValue().isEmpty()) {
			fault(key, value, "a text that is not empty");
			return Optional.empty();
		}
		return Optional.of(value.textValue());
	}

	/**
	 * Reads an address that must be present.
	 * @param key the key
	 * @return the address, or empty if it is a fault
	 */
	public Optional<Address> address(String key) {
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

	/**
	 * Reads a list of addresses.
	 * @param key the key
	 * @return the addresses, empty if the key is absent
	 */
	public List<Address> addresses(String key) {
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

	/**
	 * Reads a whole number.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @param least the least allowed value
	 * @param most the largest allowed value
	 * @return the number
	 */
	public int number(String key, int defaultValue, int least, int most) {
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

	/**
	 * Reads a time in milliseconds.
	 * @param key the key
	 * @param defaultMillis the value if the key is absent
	 * @return the time
	 */
	public Duration millis(String key, int defaultMillis) {
		return Duration.ofMillis(number(key, defaultMillis, 1, MAX_MILLIS));
	}

	/**
	 * Reads one of some values.
	 * @param key the key
	 * @param allowed the values, of which the first is the default
	 * @return the value, or the default
	 */
	public String choice(String key, List<String> allowed) {
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

	/**
	 * Reads a truth value.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @return the value
	 */
	public boolean flag(String key, boolean defaultValue) {
		JsonNode value = node(key);
		if (value.isMissingNode()) {
			return defaultValue;
		}
		if (!value.isBoolean()) {
			fault(key, value, "true or false");
		}
		return value.booleanValue();
	}

	/**
	 * Reads a decimal number.
	 * @param key the key
	 * @param defaultValue the value if the key is absent
	 * @param least the least allowed value
	 * @param most the largest allowed value
	 * @return the number
	 */
	public double decimal(String key, double defaultValue, double least, double most) {
		JsonNode value = node(key);
		if (value.isMissingNode()) {
			return defaultValue;
		}
		if (!value.isNumber() || value.doubleValue() < least || value.doubleValue() > most) {
			fault(key, value, "a number from " + least + " to " + most);
			return defaultValue;
		}
		return value.doubleValue();
	}

	/**
	 * Ends the reading.
	 * @throws SettingsException if a value is wrong or a key is not known
	 */
	public void finish() throws SettingsException {
		unknownKeys("", this.root);
		if (!this.faults.isEmpty()) {
			throw new SettingsException(this.faults);
		}
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
