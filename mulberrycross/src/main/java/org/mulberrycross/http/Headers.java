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
 * The header fields of an HTTP message in their original order. Names are compared
 * case-insensitively, and a name can occur more than once. Immutable and thread-safe.
 */
public final class Headers {

	/** Headers without fields. */
	public static final Headers NONE = new Headers(List.of());

	/** Lower-case names of fields that apply to one connection and are not forwarded. */
	private static final Set<String> HOP_BY_HOP_HEADERS = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private final List<HeaderField> fields;

	private Headers(List<HeaderField> fields) {
		this.fields = List.copyOf(fields);
	}

	/**
	 * Creates headers from a list of fields, which is copied.
	 * @param fields the fields in order, not null
	 * @return the headers
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
	 * Returns the value of the first field with the given name.
	 * @param name the name in any case, not null
	 * @return the value, or empty if no field has that name
	 */
	public Optional<String> firstValue(String name) {
		Objects.requireNonNull(name, "name");
		for (HeaderField field : this.fields) {
			if (field.name().equalsIgnoreCase(name)) {
				return Optional.of(field.value());
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns all fields in order.
	 * @return an unmodifiable list
	 */
	public List<HeaderField> fields() {
		return this.fields;
	}

	/**
	 * Returns the headers that a proxy forwards: all except hop-by-hop headers, which are
	 * defined by the HTTP standard or listed in the first {@code Connection} header.
	 * @return the headers without the hop-by-hop ones
	 */
	public Headers withoutHopByHop() {
		Set<String> connectionOptions = new HashSet<>(
				Arrays.asList(firstValue("connection").orElse("").toLowerCase(Locale.ROOT).split(" *, *")));
		return new Headers(this.fields.stream()
			.filter((field) -> !HOP_BY_HOP_HEADERS.contains(field.name().toLowerCase(Locale.ROOT)))
			.filter((field) -> !connectionOptions.contains(field.name().toLowerCase(Locale.ROOT)))
			.toList());
	}

	/**
	 * Returns a copy of these headers without the fields of the given names.
	 * @param names the names in lower case, not null
	 * @return the new headers
	 */
	public Headers without(Set<String> names) {
		return new Headers(this.fields.stream()
			.filter((field) -> !names.contains(field.name().toLowerCase(Locale.ROOT)))
			.toList());
	}

	/**
	 * Returns a copy of these headers with a field appended, even if there is a field of
	 * the same name already.
	 * @param name the name, not null
	 * @param value the value, not null
	 * @return the new headers
	 */
	public Headers with(String name, String value) {
		List<HeaderField> newFields = new ArrayList<>(this.fields);
		newFields.add(new HeaderField(name, value));
		return new Headers(newFields);
	}

	@Override
	public String toString() {
		return this.fields.toString();
	}

}
