package org.mulberrycross.platform;

import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against steps back to an era that has ended.
 */
class EraTrackerTest {

	private final EraTracker tracker = new EraTracker();

	/** Fails if a delayed response from before the return of the store is used. */
	@Test
	void outdatedResponseIsRefused() {
		assertThat(this.tracker.accept(OptionalLong.of(1))).isTrue();
		assertThat(this.tracker.accept(OptionalLong.of(2))).isTrue();
		assertThat(this.tracker.accept(OptionalLong.of(1))).isFalse();
		assertThat(this.tracker.latest()).hasValue(2);
		assertThat(this.tracker.accept(OptionalLong.of(2))).isTrue();
	}

	/** Fails if a response without an era ends the known one or is refused. */
	@Test
	void missingEraChangesNothing() {
		assertThat(this.tracker.accept(OptionalLong.empty())).isTrue();
		assertThat(this.tracker.latest()).isEmpty();
		this.tracker.accept(OptionalLong.of(4));
		assertThat(this.tracker.accept(OptionalLong.empty())).isTrue();
		assertThat(this.tracker.latest()).hasValue(4);
	}

	/** Fails if text that is no era ends the thread that reads it, or counts as one. */
	@ParameterizedTest
	@ValueSource(strings = { "", "x", "-1", "1.5", "1000000001", "99999999999999999999", "1, 2" })
	void invalidEraIsNone(String text) {
		assertThat(this.tracker.decode(text)).isEmpty();
		assertThat(this.tracker.decode(" 17 ")).hasValue(17);
	}

}
