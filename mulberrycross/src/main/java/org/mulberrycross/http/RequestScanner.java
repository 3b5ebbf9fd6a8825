package org.mulberrycross.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpBrokenContentException;

/**
 * Finds the ends of the requests on one connection and checks their framing. Not
 * thread-safe.
 */
final class RequestScanner {

	/** Maximum size of a head; below that of the codec, which would respond by itself. */
	private static final int MAX_HEAD_BYTES = (64 << 10) - 1;

	/** Maximum size of all trailer fields. */
	private static final int MAX_TRAILER_BYTES = 8 << 10;

	private final ByteArrayOutputStream head = new ByteArrayOutputStream();

	private State state = State.HEAD;

	/** Bytes in the current line of the head, without the line end. */
	private int lineBytes;

	/** Bytes left of a body with a length. */
	private long remaining;

	/** Whether the head of a request has been accepted. */
	private boolean requestStarted;

	private ChunkDecoder chunks = newChunkDecoder();

	/**
	 * Reads bytes up to the end of a request, of the buffer or of the part that is sound.
	 * @param buffer the bytes received, whose position does not change
	 * @return the index after the last byte read
	 */
	int read(Buffer buffer) {
		if (this.state == State.ENDED) {
			this.head.reset();
			this.state = State.HEAD;
		}
		int index = buffer.position();
		while (index < buffer.limit() && this.state != State.ENDED && this.state != State.BROKEN) {
			if (this.state == State.HEAD) {
				this.state = readHead(buffer.get(index++));
			}
			else if (this.state == State.BODY) {
				long skipped = Math.min(this.remaining, buffer.limit() - index);
				this.remaining -= skipped;
				index += (int) skipped;
				this.state = (this.remaining == 0) ? State.ENDED : State.BODY;
			}
			else {
				index = readChunks(buffer, index);
			}
		}
		return index;
	}

	/**
	 * Returns whether the head of the next request has not been received completely.
	 * @return true if the end of the head, or all of it, is missing
	 */
	boolean isHeadIncomplete() {
		return this.state == State.HEAD;
	}

	boolean isInBody() {
		return this.state == State.BODY || this.state == State.CHUNKED;
	}

	boolean isBroken() {
		return this.state == State.BROKEN;
	}

	/**
	 * Returns whether a request has been passed on, to which a response may be under way.
	 * @return true if a sound head has been received on this connection
	 */
	boolean hasRequestStarted() {
		return this.requestStarted;
	}

	/**
	 * Returns how much of an incomplete head has been received.
	 * @return the number of bytes, without blank lines before the head
	 */
	int incompleteHeadBytes() {
		return isHeadIncomplete() ? this.head.size() : 0;
	}

	/**
	 * Returns the start of the current head.
	 * @param length the number of bytes
	 * @return a copy of the bytes
	 */
	byte[] headStart(int length) {
		return Arrays.copyOf(this.head.toByteArray(), length);
	}

	private State readHead(byte value) {
		boolean lineEnd = value == '\r' || value == '\n';
		if (lineEnd && this.head.size() == 0) {
			return State.HEAD;
		}
		this.head.write(value);
		if (!lineEnd) {
			this.lineBytes++;
		}
		if (this.head.size() > MAX_HEAD_BYTES) {
			return State.BROKEN;
		}
		if (value != '\n') {
			return State.HEAD;
		}
		boolean complete = this.lineBytes == 0;
		this.lineBytes = 0;
		return complete ? startBody() : State.HEAD;
	}

	private int readChunks(Buffer buffer, int start) {
		Buffer input = buffer.duplicate();
		input.position(start);
		try {
			while (input.hasRemaining() && !this.chunks.isComplete()) {
				this.chunks.decode(input);
			}
			this.state = this.chunks.isComplete() ? State.ENDED : State.CHUNKED;
		}
		catch (HttpBrokenContentException ex) {
			this.state = State.BROKEN;
		}
		return input.position();
	}

	// The codec that reads the request after this check refuses extensions.
	private static ChunkDecoder newChunkDecoder() {
		return new ChunkDecoder(MAX_TRAILER_BYTES, false);
	}

	private State startBody() {
		Optional<RequestFraming> parsed = RequestFraming.parse(this.head.toString(StandardCharsets.ISO_8859_1));
		if (parsed.isEmpty()) {
			return State.BROKEN;
		}
		this.requestStarted = true;
		this.remaining = parsed.get().contentLength();
		this.chunks = newChunkDecoder();
		if (parsed.get().chunked()) {
			return State.CHUNKED;
		}
		return (this.remaining > 0) ? State.BODY : State.ENDED;
	}

	private enum State {

		HEAD, BODY, CHUNKED, ENDED, BROKEN

	}

}
