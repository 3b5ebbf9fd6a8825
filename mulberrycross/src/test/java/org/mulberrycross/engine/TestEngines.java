package org.mulberrycross.engine;

import java.util.Map;
import java.util.Optional;

import org.mulberrycross.Address;
import org.mulberrycross.UpstreamInstance;

/**
 * Factory methods for engine instances, and a model profile, for tests.
 */
final class TestEngines {

	/** A model of 80 layers of 1,750 MB on three kinds of accelerators. */
	static final EngineProfile PROFILE = new EngineProfile(80, 1750, 0.845, 1.02, 164, 774, 210, 6,
			Map.of("large", new AcceleratorKind("large", 72_000, 2.4, 3.2), "medium",
					new AcceleratorKind("medium", 14_400, 5.3, 7.9), "slow",
					new AcceleratorKind("slow", 21_600, 16, 8.2)));

	private TestEngines() {
	}

	static EngineInstance engine(String id, String kind, String dataCentre, Optional<LayerRange> layers) {
		return new EngineInstance(new UpstreamInstance(id, "model",
				new Address("10.0.0.1", 1 + Math.floorMod(id.hashCode(), 60_000)), dataCentre, false, 134, 1000), kind,
				layers, 1);
	}

	static EngineInstance engineWithoutLayers(String id, String kind, String dataCentre) {
		return engine(id, kind, dataCentre, Optional.empty());
	}

	static EngineInstance engineWithLayers(String id, String kind, String dataCentre, int first, int end) {
		return engine(id, kind, dataCentre, Optional.of(new LayerRange(first, end)));
	}

}
