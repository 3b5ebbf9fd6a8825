package org.mulberrycross.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpBrokenContentException;
import org.glassfish.grizzly.memory.Buffers;

/**
 * Decodes the chunks of one body as they arrive. Accepts CRLF as the only line end, so
 * that a chunk that is longer than its size cannot be taken for the next one. Not
 * thread-safe.
 */
final class ChunkDecoder {

	/** Keeps sizes within the range of a long. */
	private static final int MAX_SIZE_DIGITS = 15;

	private final int maxLineBytes;

	private final boolean extensionsAllowed;

	private State state = State.SIZE;

	private long remainingBytes;

	private int sizeDigits;

	/** Bytes of the current chunk's size line, or of all trailers. */
	private int lineBytes;

	/**
	 * Creates a decoder.
	 * @param maxLineBytes the maximum size of a size line, and of all trailers
	 * @param extensionsAllowed whether spaces and extensions may follow a size
	 */
	ChunkDecoder(int maxLineBytes, boolean extensionsAllowed) {
		this.maxLineBytes = maxLineBytes;
		this.extensionsAllowed = extensionsAllowed;
	}

	boolean isComplete() {
		return this.state == State.COMPLETE;
	}

	/**
	 * Consumes bytes until the end of a chunk's data, the end of the body or the end of
	 * the buffer, whichever is first.
	 * @param input the received bytes; its position is moved behind the consumed ones
	 * @return the data as a slice of the input, empty if no data was consumed
	 * @throws HttpBrokenContentException if the chunks are malformed
	 */
	Buffer decode(Buffer input) {
		while (input.hasRemaining() && this.state != State.COMPLETE) {
			if (this.state == State.DATA) {
				return takeData(input);
			}
			this.state = next(input.get());
		}
		return Buffers.EMPTY_BUFFER;
	}

	private Buffer takeData(Buffer input) {
		int length = (int) Math.min(this.remainingBytes, input.remaining());
		Buffer data = input.slice(input.position(), input.position() + length);
		input.position(input.position() + length);
		this.remainingBytes -= length;
		if (this.remainingBytes == 0) {
			this.state = State.DATA_CR;
		}
		return data;
	}

	private State next(byte value) {
		if (++this.lineBytes > this.maxLineBytes) {
			return fail("size line or trailers longer than " + this.maxLineBytes + " bytes");
		}
		return switch (this.state) {
			case SIZE -> afterSizeByte(value);
			case SIZE_SPACE -> isSpace(value) ? State.SIZE_SPACE : afterSize(value);
			case EXTENSION -> (value == '\r') ? State.SIZE_LF : afterText(value, State.EXTENSION);
			case SIZE_LF -> afterSizeLine(value);
			case DATA_CR -> require(value, '\r', State.DATA_LF);
			case DATA_LF -> startSize(require(value, '\n', State.SIZE));
			case TRAILER_START -> (value == '\r') ? State.END_LF : afterTrailerName(value);
			case TRAILER_NAME -> (value == ':') ? State.TRAILER_VALUE : afterTrailerName(value);
			case TRAILER_VALUE -> (value == '\r') ? State.TRAILER_LF : afterText(value, State.TRAILER_VALUE);
			case TRAILER_LF -> require(value, '\n', State.TRAILER_START);
			case END_LF -> require(value, '\n', State.COMPLETE);
			case DATA, COMPLETE, FAILED -> fail(value);
		};
	}

	private State afterSizeByte(byte value) {
		int digit = Character.digit(value, 16);
		if (digit < 0) {
			return (this.sizeDigits > 0) ? afterSize(value) : fail(value);
		}
		this.sizeDigits++;
		if (this.sizeDigits > MAX_SIZE_DIGITS) {
			return fail("size longer than " + MAX_SIZE_DIGITS + " digits");
		}
		this.remainingBytes = (this.remainingBytes << 4) | digit;
		return State.SIZE;
	}

	private State afterSize(byte value) {
		if (this.extensionsAllowed && isSpace(value)) {
			return State.SIZE_SPACE;
		}
		return (this.extensionsAllowed && value == ';') ? State.EXTENSION : require(value, '\r', State.SIZE_LF);
	}

	private State afterSizeLine(byte value) {
		State following = require(value, '\n', (this.remainingBytes > 0) ? State.DATA : State.TRAILER_START);
		this.lineBytes = 0;
		return following;
	}

	private State startSize(State following) {
		this.lineBytes = 0;
		this.sizeDigits = 0;
		return following;
	}

	private State afterTrailerName(byte value) {
		return ResponseFraming.isNameCharacter(value) ? State.TRAILER_NAME : fail(value);
	}

	private State afterText(byte value, State following) {
		return (value == '\n') ? fail(value) : following;
	}

	private State require(byte value, char expected, State following) {
		return (value == expected) ? following : fail(value);
	}

	private State fail(byte value) {
		return fail("byte " + value + " in state " + this.state);
	}

	// A decoder that has failed must not take later bytes for the end of the body.
	private State fail(String reason) {
		this.state = State.FAILED;
		throw new HttpBrokenContentException("malformed chunk: " + reason);
	}

	private static boolean isSpace(byte value) {
		return value == ' ' || value == '\t';
	}

	/** What the next byte belongs to. */
	private enum State {

		SIZE, SIZE_SPACE, EXTENSION, SIZE_LF, DATA, DATA_CR, DATA_LF, TRAILER_START, TRAILER_NAME, TRAILER_VALUE,
		TRAILER_LF, END_LF, COMPLETE, FAILED

	}

}
