package org.mulberrycross.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpBrokenContentException;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
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

	private static Buffer buffer(String text) {
		return Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, text);
	}

}
