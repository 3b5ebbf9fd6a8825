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
 */
record PlacementView(Map<String, EngineProfile> profiles, Map<String, List<EngineInstance>> engines) {

	PlacementView {
		profiles = Map.copyOf(profiles);
		engines = Map.copyOf(engines);
	}

}
