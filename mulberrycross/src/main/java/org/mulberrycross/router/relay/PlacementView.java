package org.mulberrycross.router.relay;

import java.util.List;
import java.util.Map;

import org.mulberrycross.engine.EngineInstance;
import org.mulberrycross.engine.EngineProfile;

/**
 * What placement needs to know. Immutable and thread-safe.
 *
 * @param profiles the model and engines by service
 * @param engines the engines by service that serve and are not leaving
 */
record PlacementView(Map<String, EngineProfile> profiles, Map<String, List<EngineInstance>> engines) {

	PlacementView {
		profiles = Map.copyOf(profiles);
		engines = Map.copyOf(engines);
	}

}
