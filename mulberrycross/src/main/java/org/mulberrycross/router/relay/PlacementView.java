package org.mulberrycross.router.relay;

import java.util.List;
import java.util.Map;

import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EngineProfile;

/**
 * Input for the planning of placements. Immutable and thread-safe.
 *
 * @param profiles the engine profiles by service name
 * @param engines the engines that are not leaving, by service name
 * @param slowdowns the factors by which slow engines are slower than their kind, by
 * engine id
 * @param storeAvailable whether the store is reachable, as far as is known
 * @param enginesReachable whether this daemon reaches engines; also true while no daemon
 * does, as far as is known
 */
record PlacementView(Map<String, EngineProfile> profiles, Map<String, List<EngineInstance>> engines,
		Map<String, Double> slowdowns, boolean storeAvailable, boolean enginesReachable) {

	PlacementView {
		profiles = Map.copyOf(profiles);
		engines = Map.copyOf(engines);
		slowdowns = Map.copyOf(slowdowns);
	}

	// Returns the factor by which an engine is slower than its kind, at least 1.
	double slowdown(EngineInstance engine) {
		return this.slowdowns.getOrDefault(engine.id(), 1.0);
	}

}
