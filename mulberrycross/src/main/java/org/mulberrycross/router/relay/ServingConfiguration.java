package org.mulberrycross.router.relay;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.mulberrycross.caller.CallerLimits;
import org.mulberrycross.caller.RouteTable;
import org.mulberrycross.engine.EngineProfile;

/**
 * One version of the operators' configuration. Immutable and thread-safe.
 *
 * @param version the version, which only ever increases
 * @param routes the routes, not null
 * @param teamsByKey the team name by API key, or empty if requests need no key, not null
 * @param prioritiesByTeam the priority by team name of the teams that have one of their
 * own, which takes precedence over that of the route, not null
 * @param profilesByService the profiles of model services by service name, not null
 * @param healthPathsByService the health check paths of all services by service name, not
 * null
 * @param limits limits on what clients may send, not null
 */
public record ServingConfiguration(long version, RouteTable routes, Optional<Map<String, String>> teamsByKey,
		Map<String, Integer> prioritiesByTeam, Map<String, EngineProfile> profilesByService,
		Map<String, String> healthPathsByService, CallerLimits limits) {

	/**
	 * Creates a configuration.
	 * @param version the version
	 * @param routes the routes, not null
	 * @param teamsByKey the team name by API key, or empty, not null
	 * @param prioritiesByTeam the priority by team name, not null
	 * @param profilesByService the profiles of model services by service name, not null
	 * @param healthPathsByService the health check paths by service name, not null
	 * @param limits limits on what clients may send, not null
	 */
	public ServingConfiguration {
		Objects.requireNonNull(routes, "routes");
		Objects.requireNonNull(limits, "limits");
		teamsByKey = teamsByKey.map(Map::copyOf);
		prioritiesByTeam = Map.copyOf(prioritiesByTeam);
		profilesByService = Map.copyOf(profilesByService);
		healthPathsByService = Map.copyOf(healthPathsByService);
	}

	/**
	 * Creates a configuration in which all requests have the priority of their route.
	 * @param version the version
	 * @param routes the routes, not null
	 * @param teamsByKey the team name by API key, or empty, not null
	 * @param profilesByService the profiles of model services by service name, not null
	 * @param healthPathsByService the health check paths by service name, not null
	 * @param limits limits on what clients may send, not null
	 */
	public ServingConfiguration(long version, RouteTable routes, Optional<Map<String, String>> teamsByKey,
			Map<String, EngineProfile> profilesByService, Map<String, String> healthPathsByService,
			CallerLimits limits) {
		this(version, routes, teamsByKey, Map.of(), profilesByService, healthPathsByService, limits);
	}

}
