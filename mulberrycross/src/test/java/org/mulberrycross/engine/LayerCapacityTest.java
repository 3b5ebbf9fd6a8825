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
			capacity.addHolder(engine, engine.layers().orElseThrow());
		}
		return capacity;
	}

	/** Fails if layers with one holder are not found when the others have two. */
	@Test
	void layersWithFewerHoldersHaveLowCapacity() {
		LayerCapacity capacity = capacityOf(TestEngines.holding("a", "large", "dc", 0, 25),
				TestEngines.holding("b", "large", "dc", 25, 50), TestEngines.holding("c", "large", "dc", 50, 75),
				TestEngines.holding("d", "large", "dc", 0, 25), TestEngines.holding("e", "large", "dc", 50, 75),
				TestEngines.holding("f", "medium", "dc", 75, 80), TestEngines.holding("g", "medium", "dc", 75, 80));
		assertThat(capacity.findLowCapacityRange(0.75, 40)).isEqualTo(Optional.of(new LayerRange(25, 50)));
	}

	/**
	 * Fails if a few layers with much spare memory make all others count as low, which
	 * would use up empty engines without need.
	 */
	@Test
	void ignoresHighCapacityOutliers() {
		LayerCapacity capacity = capacityOf(TestEngines.holding("a", "large", "dc", 0, 25),
				TestEngines.holding("b", "large", "dc", 25, 50), TestEngines.holding("c", "large", "dc", 50, 75),
				TestEngines.holding("d", "medium", "dc", 75, 80), TestEngines.holding("e", "large", "dc", 79, 80));
		assertThat(capacity.findLowCapacityRange(0.75, 40)).isEqualTo(Optional.empty());
	}

	/** Fails if layers are not found whose only holder has little spare memory. */
	@Test
	void layersBelowMinRequestsHaveLowCapacity() {
		LayerCapacity capacity = capacityOf(TestEngines.holding("a", "large", "dc", 0, 40),
				TestEngines.holding("b", "large", "dc", 40, 80));
		assertThat(capacity.findLowCapacityRange(0.75, 40)).isEqualTo(Optional.of(new LayerRange(0, 80)));
	}

}
