package org.mulberrycross;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against revisions of different eras being compared.
 */
class StorePositionTest {

	private static final StorePosition POSITION = StorePosition.of(2, 100);

	/** Fails if a position of another era, or of none, is taken for an earlier one. */
	@Test
	void revisionsAreComparedWithinAnEra() {
		assertThat(POSITION.isCoveredBy(StorePosition.of(2, 100))).isTrue();
		assertThat(POSITION.isCoveredBy(StorePosition.of(2, 99))).isFalse();
		assertThat(POSITION.isCoveredBy(StorePosition.of(3, 200))).isFalse();
		assertThat(POSITION.isCoveredBy(StorePosition.of(200))).isFalse();
		assertThat(StorePosition.of(7).isCoveredBy(StorePosition.of(8))).isTrue();
	}

	/** Fails if a daemon lists again because of a sibling in an earlier or no era. */
	@Test
	void onlyHigherNamedEraIsLater() {
		assertThat(StorePosition.of(3, 1).isLaterEra(POSITION)).isTrue();
		assertThat(StorePosition.of(2, 999).isLaterEra(POSITION)).isFalse();
		assertThat(StorePosition.of(1, 999).isLaterEra(POSITION)).isFalse();
		assertThat(StorePosition.of(999).isLaterEra(POSITION)).isFalse();
		assertThat(POSITION.isLaterEra(StorePosition.of(1))).isFalse();
	}

}
