package org.mulberrycross.engine;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Verifies which layers count as having low request capacity.
 */
class LayerCapacityTest {

	private static LayerCapacity capacityOf(EngineInstance... engines) {
		LayerCapacity capacity = new LayerCapacity(TestEngines.PROFILE, 100);
		for (EngineInstance engine : engines) {
			capacity.addHolder(engine, engine.layers().orElseThrow(), 1);
		}
		return capacity;
	}

	/** Fails if layers with one holder are not found when the others have two. */
	@Test
	void layersWithFewerHoldersHaveLowCapacity() {
		LayerCapacity capacity = capacityOf(TestEngines.engineWithLayers("a", "large", "dc", 0, 25),
				TestEngines.engineWithLayers("b", "large", "dc", 25, 50),
				TestEngines.engineWithLayers("c", "large", "dc", 50, 75),
				TestEngines.engineWithLayers("d", "large", "dc", 0, 25),
				TestEngines.engineWithLayers("e", "large", "dc", 50, 75),
				TestEngines.engineWithLayers("f", "medium", "dc", 75, 80),
				TestEngines.engineWithLayers("g", "medium", "dc", 75, 80));
		assertThat(capacity.findLowCapacityRange(0.75, 40)).isEqualTo(Optional.of(new LayerRange(25, 50)));
	}

	/**
	 * Fails if a few layers with much spare memory make all others count as low, which
	 * would use up empty engines without need.
	 */
	@Test
	void ignoresHighCapacityOutliers() {
		LayerCapacity capacity = capacityOf(TestEngines.engineWithLayers("a", "large", "dc", 0, 25),
				TestEngines.engineWithLayers("b", "large", "dc", 25, 50),
				TestEngines.engineWithLayers("c", "large", "dc", 50, 75),
				TestEngines.engineWithLayers("d", "medium", "dc", 75, 80),
				TestEngines.engineWithLayers("e", "large", "dc", 79, 80));
		assertThat(capacity.findLowCapacityRange(0.75, 40)).isEqualTo(Optional.empty());
	}

	/** Fails if layers are not found whose only holder has little spare memory. */
	@Test
	void layersBelowMinRequestsHaveLowCapacity() {
		LayerCapacity capacity = capacityOf(TestEngines.engineWithLayers("a", "large", "dc", 0, 40),
				TestEngines.engineWithLayers("b", "large", "dc", 40, 80));
		assertThat(capacity.findLowCapacityRange(0.75, 40)).isEqualTo(Optional.of(new LayerRange(0, 80)));
	}

}
