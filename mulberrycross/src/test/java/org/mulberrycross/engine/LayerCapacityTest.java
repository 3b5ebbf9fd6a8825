package org.mulberrycross.engine;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the comparison of layers by the requests that their holders have memory for.
 */
class LayerCapacityTest {

	private static LayerCapacity capacity(EngineInstance... engines) {
		LayerCapacity capacity = new LayerCapacity(TestEngines.PROFILE, 100);
		for (EngineInstance engine : engines) {
			capacity.add(engine, engine.layers().orElseThrow());
		}
		return capacity;
	}

	/** Fails if a layer with half of the usual holders is not noticed. */
	@Test
	void layersWithFewerHoldersAreWeak() {
		LayerCapacity capacity = capacity(TestEngines.holding("a", "large", "dc", 0, 25),
				TestEngines.holding("b", "large", "dc", 25, 50), TestEngines.holding("c", "large", "dc", 50, 75),
				TestEngines.holding("d", "large", "dc", 0, 25), TestEngines.holding("e", "large", "dc", 50, 75),
				TestEngines.holding("f", "medium", "dc", 75, 80), TestEngines.holding("g", "medium", "dc", 75, 80));
		assertThat(capacity.weakest(0.75, 40)).isEqualTo(Optional.of(new LayerRange(25, 50)));
	}

	/**
	 * Fails if one layer with much memory beside it makes all others look weak, so that
	 * engines are used up for nothing.
	 */
	@Test
	void fewRoomyLayersDoNotMakeTheOthersWeak() {
		LayerCapacity capacity = capacity(TestEngines.holding("a", "large", "dc", 0, 25),
				TestEngines.holding("b", "large", "dc", 25, 50), TestEngines.holding("c", "large", "dc", 50, 75),
				TestEngines.holding("d", "medium", "dc", 75, 80), TestEngines.holding("e", "large", "dc", 79, 80));
		assertThat(capacity.weakest(0.75, 40)).isEqualTo(Optional.empty());
	}

	/** Fails if layers whose only holder has hardly any memory left are not noticed. */
	@Test
	void crowdedLayersAreWeakInAnyCase() {
		LayerCapacity capacity = capacity(TestEngines.holding("a", "large", "dc", 0, 40),
				TestEngines.holding("b", "large", "dc", 40, 80));
		assertThat(capacity.weakest(0.75, 40)).isEqualTo(Optional.of(new LayerRange(0, 80)));
	}

}
