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
 * @param teamsByKey the name of each key's team, or empty if requests need no key, not
 * null
 * @param enginesByService the model and engines of each service that runs one, not null
 * @param services the names of all services with the paths of their health checks, not
 * null
 * @param limits bounds on what clients may send, not null
 */
public record ServingConfiguration(long version, RouteTable routes, Optional<Map<String, String>> teamsByKey,
		Map<String, EngineProfile> enginesByService, Map<String, String> services, CallerLimits limits) {

	/**
	 * Creates a configuration.
	 * @param version the version
	 * @param routes the routes, not null
	 * @param teamsByKey the name of each key's team, or empty, not null
	 * @param enginesByService the model and engines by service, not null
	 * @param services the paths of the health checks by service, not null
	 * @param limits bounds on what clients may send, not null
	 */
	public ServingConfiguration {
		Objects.requireNonNull(routes, "routes");
		Objects.requireNonNull(limits, "limits");
		teamsByKey = teamsByKey.map(Map::copyOf);
		enginesByService = Map.copyOf(enginesByService);
		services = Map.copyOf(services);
	}

}
