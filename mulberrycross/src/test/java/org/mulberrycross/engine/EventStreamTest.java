package org.mulberrycross.engine;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Verifies that no event is lost, repeated or merged with another when a stream moves to
 * another engine.
 */
class EventStreamTest {

	private static String events(int first, int end) {
		StringBuilder text = new StringBuilder();
		for (int i = first; i < end; i++) {
			text.append("id: ").append(i).append("\ndata: text ").append(i).append("\n\n");
		}
		return text.toString();
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Fails if the boundaries between reads affect the events that the client receives.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void passesOnCompleteEvents(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		EventStream stream = new EventStream(OptionalLong.empty());
		String all = events(1, 60);
		StringBuilder passed = new StringBuilder();
		for (int start = 0; start < all.length();) {
			int end = Math.min(all.length(), start + 1 + random.nextInt(40));
			passed.append(new String(stream.extractEvents(bytes(all.substring(start, end))), StandardCharsets.UTF_8));
			start = end;
		}
		assertThat(passed.toString()).isEqualTo(all);
		assertThat(stream.remainder()).isEmpty();
		assertThat(stream.lastId()).isEqualTo(OptionalLong.of(59));
	}

	/**
	 * Fails if an interrupted event is merged with one from the next engine, or an event
	 * is repeated.
	 */
	@Test
	void resumesAfterPartialEvent() {
		EventStream stream = new EventStream(OptionalLong.empty());
		String first = new String(stream.extractEvents(bytes(events(1, 4) + "id: 4\nda")), StandardCharsets.UTF_8);
		stream.dropPartialEvent();
		String second = new String(stream.extractEvents(bytes(events(3, 6))), StandardCharsets.UTF_8);
		assertThat(first + second).isEqualTo(events(1, 6));
		assertThat(stream.hasSequenceGap()).isFalse();
	}

	/** Fails if a gap between the events of two engines is not detected. */
	@Test
	void detectsMissingEvent() {
		EventStream stream = new EventStream(OptionalLong.of(4));
		assertThat(stream.extractEvents(bytes(events(6, 8)))).isEmpty();
		assertThat(stream.hasSequenceGap()).isTrue();
	}

}
