package org.mulberrycross.http;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpBrokenContentException;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against the end of a body that is taken from the wrong place.
 */
class ChunkDecoderTest {

	/**
	 * Fails if bytes that arrive after a malformed chunk complete the body. The
	 * connection can receive some until it is closed.
	 */
	@Test
	void staysFailedAfterMalformedChunk() {
		ChunkDecoder decoder = new ChunkDecoder(8, true);
		assertThat(decoder.decode(buffer("2\r\nab")).toStringContent()).isEqualTo("ab");
		assertThrows(HttpBrokenContentException.class, () -> decoder.decode(buffer("c")));
		assertThrows(HttpBrokenContentException.class, () -> decoder.decode(buffer("\r\n0\r\n\r\n")));
		assertThat(decoder.isComplete()).isFalse();
	}

	/** Fails if an extension or the trailers can grow without a limit. */
	@Test
	void failsLineOverLimit() {
		assertThrows(HttpBrokenContentException.class, () -> new ChunkDecoder(8, true).decode(buffer("1;234567\r\n")));
		assertThrows(HttpBrokenContentException.class,
				() -> new ChunkDecoder(8, true).decode(buffer("0\r\nA:\r\nBC:\r\n")));
	}

	/**
	 * Fails if a body with one wrong byte, in one part or in two, is complete but shorter
	 * or longer than its data. A line feed in place of a size ended streams between two
	 * events.
	 */
	@Test
	void wrongByteChangesNoLength() {
		String event = "id: 1\ndata: aaaaaaaa\n\n";
		String body = ("16\r\n" + event + "\r\n").repeat(3) + "0\r\n\r\n";
		for (int position = 0; position < body.length(); position++) {
			for (int value = 0; value < 256; value++) {
				String changed = body.substring(0, position) + (char) value + body.substring(position + 1);
				for (int split : List.of(0, position, position + 1)) {
					int length = decodedLength(changed.substring(0, split), changed.substring(split));
					assertWithMessage("%s at %s", value, position).that(length).isAnyOf(-1, 3 * event.length());
				}
			}
		}
	}

	// Returns the length of the data, or -1 if the body is malformed or not complete.
	private static int decodedLength(String... parts) {
		ChunkDecoder decoder = new ChunkDecoder(64, true);
		int length = 0;
		try {
			for (String part : parts) {
				Buffer input = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, part, StandardCharsets.ISO_8859_1);
				while (input.hasRemaining() && !decoder.isComplete()) {
					length += decoder.decode(input).remaining();
				}
			}
		}
		catch (HttpBrokenContentException ex) {
			return -1;
		}
		return decoder.isComplete() ? length : -1;
	}

	private static Buffer buffer(String text) {
		return Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, text);
	}

}
