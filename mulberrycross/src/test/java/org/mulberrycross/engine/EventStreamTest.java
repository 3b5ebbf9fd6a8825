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
		assertThat(stream.partialEventBytes()).isEqualTo(0);
		assertThat(stream.lastId()).isEqualTo(OptionalLong.of(59));
	}

	/**
	 * Fails if the head or the text of an error that an engine writes into its stream is
	 * passed on as an event, or data without an id, or if a comment or a field without
	 * data is not passed on with the next event.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\n", "{\"error\":1}\n\n",
			"<html>\n\n", "internal error at line 7\n\n", "id: 3\nno such layer\n\n", "0123456789\n\n", "a: b\nc\n\n",
			"data: 0123456789\n\n", "data\n\n", "id: x\ndata: a\n\n", "id: 99999999999999999999\ndata: a\n\n",
			"event: e\ndata: a\n\n" })
	void rejectsTextThatIsNoEvent(String text) {
		EventStream stream = new EventStream(OptionalLong.empty());
		byte[] sound = bytes(events(1, 3) + ": wait\n\nretry: 10\n\n" + events(3, 4));
		assertThat(stream.extractEvents(sound)).isEqualTo(sound);
		assertThat(stream.hasInvalidEvent()).isFalse();
		assertThat(stream.extractEvents(bytes(text))).isEmpty();
		assertThat(stream.hasInvalidEvent()).isTrue();
	}

	/**
	 * Fails if a stream that one engine broke by a gap or by something that is not an
	 * event cannot go on at the next engine.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "id: 9\ndata: a\n\n", "not an event\n\n" })
	void continuesAfterBrokenStream(String broken) {
		EventStream stream = new EventStream(OptionalLong.empty());
		stream.extractEvents(bytes(events(1, 3) + broken));
		assertThat(stream.hasSequenceGap() || stream.hasInvalidEvent()).isTrue();
		stream.dropPartialEvent();
		assertThat(stream.extractEvents(bytes(events(3, 5)))).isEqualTo(bytes(events(3, 5)));
		assertThat(stream.hasSequenceGap()).isFalse();
		assertThat(stream.hasInvalidEvent()).isFalse();
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

	/**
	 * Pattern: an engine in trouble sends comments or fields without data, without end.
	 * Fails if the client gets any of them before an event follows.
	 */
	@ParameterizedTest
	@ValueSource(strings = { ": wait\n\n", "retry: 10\n\n", "event: e\n\n", "\n\n", ": wait\r\n\r\n" })
	void textWithoutIdIsPassedOnWithTheNextEvent(String text) {
		EventStream stream = new EventStream(OptionalLong.empty());
		assertThat(stream.extractEvents(bytes(text + text.substring(0, 1)))).isEmpty();
		assertThat(stream.extractEvents(bytes(text.substring(1)))).isEmpty();
		assertThat(stream.partialEventBytes()).isEqualTo(0);
		assertThat(stream.bufferedBytes()).isEqualTo(2 * text.length());
		byte[] passedOn = stream.extractEvents(bytes(events(1, 2) + text));
		assertThat(passedOn).isEqualTo(bytes(text + text + events(1, 2)));
		assertThat(stream.takeTrailingText()).isEqualTo(bytes(text));
		assertThat(stream.bufferedBytes()).isEqualTo(0);
	}

	/** Fails if what one engine sent without an event is merged with what follows. */
	@Test
	void textOfInterruptedStreamIsDropped() {
		EventStream stream = new EventStream(OptionalLong.empty());
		stream.extractEvents(bytes(events(1, 2) + ": wait\n\n"));
		stream.dropPartialEvent();
		assertThat(stream.extractEvents(bytes(events(2, 3)))).isEqualTo(bytes(events(2, 3)));
	}

}
