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
 * Finds the route of a request: of the routes of its host, the one with the longest
 * prefix of its path. Immutable and thread-safe.
 */
public final class RouteTable {

	private final Map<String, List<RouteRule>> byHost = new HashMap<>();

	private RouteTable(List<RouteRule> rules) {
		for (RouteRule rule : rules) {
			this.byHost.computeIfAbsent(rule.host().toLowerCase(Locale.ROOT), (host) -> new ArrayList<>()).add(rule);
		}
		Comparator<RouteRule> longestFirst = Comparator.comparingInt((RouteRule rule) -> rule.pathPrefix().length())
			.reversed();
		this.byHost.values().forEach((list) -> list.sort(longestFirst));
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
	 * Finds a route.
	 * @param host the host, with or without a port, not null
	 * @param path the path without the query, not null
	 * @return the route, or empty if none serves the path
	 */
	public Optional<RouteRule> find(String host, String path) {
		int port = host.indexOf(':');
		String name = ((port < 0) ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
		return this.byHost.getOrDefault(name, List.of())
			.stream()
			.filter((rule) -> path.startsWith(rule.pathPrefix()))
			.findFirst();
	}

}
