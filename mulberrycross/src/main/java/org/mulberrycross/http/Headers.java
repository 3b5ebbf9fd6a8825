package org.mulberrycross.http;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * The fields of a message head in the order in which they were received. Names are
 * compared without regard to case. Immutable and thread-safe.
 */
public final class Headers {

	/** A head without fields. */
	public static final Headers NONE = new Headers(List.of());

	/** Fields that concern one connection only and are never forwarded. */
	private static final Set<String> CONNECTION_FIELDS = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private final List<HeaderField> fields;

	private Headers(List<HeaderField> fields) {
		this.fields = List.copyOf(fields);
	}

	/**
	 * Returns a head with the given fields.
	 * @param fields the fields, not null
	 * @return the head
	 */
	public static Headers of(List<HeaderField> fields) {
		return new Headers(fields);
	}

	static Headers copyOf(MimeHeaders source) {
		List<HeaderField> fields = new ArrayList<>(source.size());
		for (int i = 0; i < source.size(); i++) {
			fields.add(new HeaderField(source.getName(i).toString(), source.getValue(i).toString()));
		}
		return new Headers(fields);
	}

	/**
	 * Returns the value of the first field with a name.
	 * @param name the name, not null
	 * @return the value, or empty if no field has that name
	 */
	public Optional<String> first(String name) {
		Objects.requireNonNull(name, "name");
		for (HeaderField field : this.fields) {
			if (field.name().equalsIgnoreCase(name)) {
				return Optional.of(field.value());
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the fields.
	 * @return the fields in order, unmodifiable
	 */
	public List<HeaderField> fields() {
		return this.fields;
	}

	/**
	 * Returns the fields that a proxy forwards: all but those that concern one connection
	 * only, by the standard or since {@code Connection} names them.
	 * @return the head without these fields
	 */
	public Headers forwarded() {
		Set<String> named = new HashSet<>(
				Arrays.asList(first("connection").orElse("").toLowerCase(Locale.ROOT).split(" *, *")));
		return new Headers(this.fields.stream()
			.filter((field) -> !CONNECTION_FIELDS.contains(field.name().toLowerCase(Locale.ROOT)))
			.filter((field) -> !named.contains(field.name().toLowerCase(Locale.ROOT)))
			.toList());
	}

	/**
	 * Returns this head without the fields of some names.
	 * @param names the names in lower case, not null
	 * @return the changed head
	 */
	public Headers without(Set<String> names) {
		return new Headers(this.fields.stream()
			.filter((field) -> !names.contains(field.name().toLowerCase(Locale.ROOT)))
			.toList());
	}

	/**
	 * Returns this head with one more field at its end.
	 * @param name the name, not null
	 * @param value the value, not null
	 * @return the changed head
	 */
	public Headers with(String name, String value) {
		List<HeaderField> changed = new ArrayList<>(this.fields);
		changed.add(new HeaderField(name, value));
		return new Headers(changed);
	}

	@Override
	public String toString() {
		return this.fields.toString();
	}

}
