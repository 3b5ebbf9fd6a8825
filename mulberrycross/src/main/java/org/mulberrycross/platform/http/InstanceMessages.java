package org.mulberrycross.platform.http;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

import org.mulberrycross.Address;
import org.mulberrycross.platform.Instance;

/**
 * JSON messages of the instance list, also used by the platform stand-in. Thread-safe.
 */
public final class InstanceMessages {

	private static final String LEAVING = "leaving";

	private InstanceMessages() {
	}

	/**
	 * Converts an instance to its JSON message.
	 * @param instance the instance, not null
	 * @return the message
	 */
	public static Item toItem(Instance instance) {
		return new Item(instance.name(), instance.role().name().toLowerCase(Locale.ROOT), instance.address().toString(),
				instance.leaving() ? LEAVING : "live", Optional.of(instance.incarnation()));
	}

	/**
	 * Converts a JSON message to an instance. An unknown role becomes
	 * {@link Instance.Role#OTHER}.
	 * @param item the message, not null
	 * @return the instance, or empty if the name is missing or the address is not valid
	 */
	public static Optional<Instance> toInstance(Item item) {
		if (item.name() == null || item.address() == null) {
			return Optional.empty();
		}
		try {
			return Optional.of(new Instance(item.name(), parseRole(item.role()), Address.parse(item.address()),
					item.incarnation().orElse(0L), LEAVING.equals(item.state())));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private static Instance.Role parseRole(String text) {
		for (Instance.Role role : Instance.Role.values()) {
			if (role.name().equalsIgnoreCase(text)) {
				return role;
			}
		}
		return Instance.Role.OTHER;
	}

	/**
	 * Response body of {@code GET /instances}. Immutable.
	 *
	 * @param instances the instances
	 */
	public record Instances(List<Item> instances) {

	}

	/**
	 * An instance in the instance list. Immutable.
	 *
	 * @param name the name of the daemon or upstream on the instance
	 * @param role the role in lower case
	 * @param address the address, {@code host:port}
	 * @param state {@code live} or {@code leaving}
	 * @param incarnation the start time in milliseconds, empty if unknown
	 */
	public record Item(String name, String role, String address, String state, Optional<Long> incarnation) {

	}

}
