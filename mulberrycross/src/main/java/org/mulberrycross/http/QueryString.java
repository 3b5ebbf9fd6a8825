package org.mulberrycross.http;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The parameters after the question mark of a request target. Immutable and thread-safe.
 */
public final class QueryString {

	private final Map<String, String> parameters;

	private QueryString(Map<String, String> parameters) {
		this.parameters = Map.copyOf(parameters);
	}

	/**
	 * Reads the parameters of a request target. Parts without a name and an equals sign
	 * are ignored; of two with the same name, the last one counts.
	 * @param target the request target, not null
	 * @return the parameters, none if the target has no query
	 */
	public static QueryString of(String target) {
		Objects.requireNonNull(target, "target");
		Map<String, String> parameters = new HashMap<>();
		for (String parameter : target.substring(target.indexOf('?') + 1).split("&")) {
			int separator = parameter.indexOf('=');
			if (separator > 0) {
				parameters.put(parameter.substring(0, separator), parameter.substring(separator + 1));
			}
		}
		return new QueryString(parameters);
	}

	/**
	 * Returns the value of a parameter.
	 * @param name the name of the parameter, not null
	 * @return the decoded value, empty if the parameter is absent or its percent encoding
	 * is not valid
	 */
	public Optional<String> value(String name) {
		try {
			return Optional.ofNullable(this.parameters.get(name))
				.map((value) -> URLDecoder.decode(value, StandardCharsets.UTF_8));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
