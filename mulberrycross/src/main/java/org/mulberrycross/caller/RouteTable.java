package org.mulberrycross.caller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Finds the route of a request: among the routes of its host, the one with the longest
 * matching path prefix. Immutable and thread-safe.
 */
public final class RouteTable {

	private final Map<String, List<RouteRule>> rulesByHost = new HashMap<>();

	private RouteTable(List<RouteRule> rules) {
		for (RouteRule rule : rules) {
			this.rulesByHost.computeIfAbsent(rule.host().toLowerCase(Locale.ROOT), (host) -> new ArrayList<>())
				.add(rule);
		}
		Comparator<RouteRule> longestPrefixFirst = Comparator
			.comparingInt((RouteRule rule) -> rule.pathPrefix().length())
			.reversed();
		this.rulesByHost.values().forEach((hostRules) -> hostRules.sort(longestPrefixFirst));
	}

	/**
	 * Creates a table.
	 * @param rules the routes, not null
	 * @return the table
	 */
	public static RouteTable of(List<RouteRule> rules) {
		return new RouteTable(Objects.requireNonNull(rules, "rules"));
	}

	/**
	 * Finds the route for a host and path.
	 * @param host the host, with or without a port, in any case, not null
	 * @param path the path without the query, not null
	 * @return the route, or empty if no route matches
	 */
	public Optional<RouteRule> find(String host, String path) {
		int portSeparator = host.indexOf(':');
		String hostName = ((portSeparator < 0) ? host : host.substring(0, portSeparator)).toLowerCase(Locale.ROOT);
		return this.rulesByHost.getOrDefault(hostName, List.of())
			.stream()
			.filter((rule) -> path.startsWith(rule.pathPrefix()))
			.findFirst();
	}

}
